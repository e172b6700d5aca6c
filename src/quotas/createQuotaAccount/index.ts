import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { Workspace } from "../../workspaces/types/Workspace.js";
import { quotaConstants } from "../constants.js";
import { createWorkspaceAccount } from "../createWorkspaceAccount/index.js";
import type { QuotaDecision } from "../types/QuotaDecision.js";
import type { QuotaDemand } from "../types/QuotaDemand.js";
import type { QuotaDemands } from "../types/QuotaDemands.js";
import type { QuotaExcess } from "../types/QuotaExcess.js";
import type { QuotaExchange } from "../types/QuotaExchange.js";
import type { QuotaGrants } from "../types/QuotaGrants.js";
import { QuotaOutcome } from "../types/QuotaOutcome.js";
import type { Quotas } from "../types/Quotas.js";
import type { WorkspaceAccount } from "../types/WorkspaceAccount.js";

/** Options of `createQuotaAccount`. */
interface QuotaAccountOptions {
    readonly clock: Clock;
    readonly excess: QuotaExcess;
    readonly metrics: Pick<Metrics, "countQuotaDecision">;
    readonly log: LogTopic;
}

/** The quotas as one VM applies them. */
type QuotaAccount = Quotas & Pick<QuotaExchange, "createDemands" | "applyGrants"> & {
    /** Records how many VMs are known now. */
    recordVmCount(count: number): void;
};

const withoutQuota: QuotaDecision = { isAdmitted: true, refund: () => {} };
const noNumber = -1;
const { maximumDemands, recentDemandMilliseconds, refusalLogMilliseconds, unansweredMilliseconds } = quotaConstants;

/**
 * Creates the quotas of all workspaces as one VM applies them: it asks the holder for grants, and decides on operations.
 *
 * @param options Clock, excess, metrics and log.
 * @returns The account, without grants.
 *
 * @example
 * const decision = await account.take(workspace);
 */
export function createQuotaAccount(options: QuotaAccountOptions): QuotaAccount {
    const { clock, excess, metrics, log } = options;
    const startedAt = clock.now();
    const accounts = new Map<string, WorkspaceAccount>();
    let vmCount = 0;
    let request = 0;
    /** The request whose answer is awaited. */
    let awaited: { readonly request: number; readonly elapsed: () => number; } | undefined;
    let applied: Pick<QuotaGrants, "granter" | "number" | "isContinuation"> | undefined;
    /** When the first operation came that no answer followed. */
    let unansweredSince = Infinity;
    let refusedCount = 0;
    let loggedAt = -Infinity;

    function take({ name, quota }: Workspace): QuotaDecision | Promise<QuotaDecision> {
        if (quota === undefined) {
            return withoutQuota;
        }
        unansweredSince = Math.min(unansweredSince, clock.now());
        return accountOf(name).take(quota);
    }

    function accountOf(workspace: string): WorkspaceAccount {
        let account = accounts.get(workspace);
        if (account === undefined) {
            account = createWorkspaceAccount({
                clock,
                workspace,
                excess,
                startedAt,
                vmCount: () => vmCount,
                isAnswered: () => clock.now() - unansweredSince < unansweredMilliseconds,
                onDecision: outcome => recordDecision(workspace, outcome),
            });
            accounts.set(workspace, account);
        }
        return account;
    }

    function recordDecision(workspace: string, outcome: QuotaOutcome): void {
        metrics.countQuotaDecision(outcome);
        if (outcome !== QuotaOutcome.Refused) {
            return;
        }
        refusedCount += 1;
        const now = clock.now();
        if (now - loggedAt >= refusalLogMilliseconds) {
            log("operations over quota refused", { workspace, refusedSinceLastLine: refusedCount });
            loggedAt = now;
            refusedCount = 0;
        }
    }

    function createDemands(): QuotaDemands | undefined {
        const areGrantsReported = awaited !== undefined || applied?.isContinuation === true;
        const demands = [...listDemands(areGrantsReported)]
            .sort((left, right) => right.operationsPerSecond - left.operationsPerSecond)
            .slice(0, maximumDemands);
        request += 1;
        awaited = undefined;
        if (demands.length === 0) {
            return undefined;
        }
        awaited = { request, elapsed: startElapsedTimer(clock) };
        return {
            request,
            ...applied === undefined ? {} : { granter: applied.granter },
            appliedNumber: applied?.number ?? noNumber,
            areGrantsReported,
            demands,
        };
    }

    /** Yields what this VM asks for, and forgets the workspaces without recent operations. */
    function* listDemands(areGrantsReported: boolean): Generator<QuotaDemand> {
        for (const [workspace, account] of accounts) {
            const idleMilliseconds = account.idleMilliseconds();
            if (idleMilliseconds < recentDemandMilliseconds) {
                yield account.createDemand(areGrantsReported);
            }
            else if (idleMilliseconds > excess.windowMilliseconds) {
                accounts.delete(workspace);
            }
        }
    }

    function applyGrants({ request: answered, granter, number, isContinuation, grants }: QuotaGrants): void {
        // The end of a grant counts from its own request, and the granter no longer counts answers to earlier ones.
        if (awaited === undefined || answered !== awaited.request) {
            return;
        }
        const { elapsed } = awaited;
        awaited = undefined;
        unansweredSince = Infinity;
        applied = { granter, number, isContinuation };
        const grantsByWorkspace = new Map(grants.map(grant => [grant.workspace, grant]));
        for (const [workspace, account] of accounts) {
            const grant = grantsByWorkspace.get(workspace);
            if (grant === undefined) {
                account.end();
            }
            else {
                account.apply(grant, elapsed, isContinuation);
            }
        }
    }

    return {
        take,
        createDemands,
        applyGrants,
        recordVmCount: count => {
            vmCount = Math.max(vmCount, count);
        },
    };
}
