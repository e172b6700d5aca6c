import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { Quota } from "../../workspaces/types/Quota.js";
import { quotaConstants } from "../constants.js";
import { createQuotaLedger } from "../createQuotaLedger/index.js";
import type { GrantRecord } from "../types/GrantRecord.js";
import type { QuotaDemand } from "../types/QuotaDemand.js";
import type { QuotaDemands } from "../types/QuotaDemands.js";
import type { QuotaExcess } from "../types/QuotaExcess.js";
import type { QuotaExchange } from "../types/QuotaExchange.js";
import type { QuotaGrant } from "../types/QuotaGrant.js";
import type { QuotaGrants } from "../types/QuotaGrants.js";
import type { QuotaLedger } from "../types/QuotaLedger.js";

/** Options of `createQuotaGranter`. */
interface QuotaGranterOptions {
    readonly clock: Pick<Clock, "now">;
    /** Name of this process, which no other has. */
    readonly name: string;
    /** The VMs that may get grants, as recorded for the next holder. */
    readonly record: GrantRecord;
    /** Returns the quota in force of a workspace; undefined when it has none. */
    readonly quotaOf: (workspace: string) => Quota | undefined;
    readonly excess: QuotaExcess;
    readonly metrics: Pick<Metrics, "countQuotaGrants">;
    readonly log: LogTopic;
}

/** What the granter knows of a VM that asks. */
interface AskingVm {
    /** Number of the newest request. */
    request: number;
    askedAt: number;
    /** Workspaces of which the VM may follow a grant. */
    workspaces: ReadonlySet<string>;
}

const noNumber = -1;
const { grantMilliseconds, maximumDemands } = quotaConstants;

/**
 * Creates the part of the holder of the failover duty that shares quotas among VMs.
 *
 * Nothing is granted until no predecessor can grant any more. For the duration of a grant after that, each VM may only go
 * on with the grant that it reports; the predecessor had shared the quota among these. Then the predecessor's grants
 * have ended and the quotas are shared anew, each bucket being empty. This comes sooner when each VM that may hold a grant
 * of a predecessor has reported, as all do soon after they were restarted together.
 *
 * @param options Clock, name, quotas, metrics and log.
 * @returns The granter, for a holder without a predecessor.
 *
 * @example
 * const grants = granter.answerDemands(renewal.vm, renewal.quotaDemands);
 */
export function createQuotaGranter(
    options: QuotaGranterOptions,
): Pick<QuotaExchange, "answerDemands" | "recordRenewal" | "startGranting"> {
    const { clock, quotaOf } = options;
    const vms = new Map<string, AskingVm>();
    const ledgers = new Map<string, QuotaLedger>();
    let generation = 0;
    let number = 0;
    let isLogged = true;
    /** Time after which no predecessor makes a grant. */
    let predecessorEndsAt = -Infinity;
    /** Time after which no grant of a predecessor holds. */
    let formerGrantsEndAt = clock.now();
    let forgotAt = clock.now();
    /** VMs that may hold a grant of a predecessor and have not reported; undefined while they are not known. */
    let unreported: Set<string> | undefined;

    function startGranting(endsAt: number): void {
        generation += 1;
        vms.clear();
        ledgers.clear();
        predecessorEndsAt = endsAt;
        formerGrantsEndAt = endsAt + grantMilliseconds;
        isLogged = false;
        unreported = undefined;
        const started = generation;
        options.record.takeOver(names => {
            if (started === generation) {
                unreported = new Set(names);
            }
        });
    }

    /** A VM that asks for nothing has had no operation for longer than a grant lasts. */
    function recordRenewal(vm: string, hasDemands: boolean): void {
        if (!hasDemands && clock.now() >= predecessorEndsAt) {
            recordReport(vm);
        }
    }

    /** Shares anew as soon as the last VM has reported. */
    function recordReport(vm: string): void {
        const now = clock.now();
        unreported?.delete(vm);
        if (unreported?.size === 0 && now < formerGrantsEndAt) {
            formerGrantsEndAt = now;
            ledgers.forEach(ledger => ledger.startFilling(now));
        }
    }

    function granterName(): string {
        return `${options.name}-${generation}`;
    }

    function answerDemands(
        vm: Parameters<QuotaExchange["answerDemands"]>[0],
        demands: QuotaDemands,
    ): QuotaGrants | undefined {
        if (clock.now() < predecessorEndsAt || !options.record.admits(vm.name)) {
            return undefined;
        }
        forgetIdle();
        const key = `${vm.name}/${vm.incarnation}`;
        const asking = vms.get(key) ?? { request: noNumber, askedAt: 0, workspaces: new Set() };
        if (demands.request <= asking.request) {
            // Late or doubled on its way: the VM has asked again, and waits for that answer only.
            return undefined;
        }
        const isContinuation = clock.now() < formerGrantsEndAt;
        if (isContinuation && !demands.areGrantsReported) {
            // Without an answer, the VM keeps its grants and reports them next.
            return undefined;
        }
        logOnce(isContinuation);
        number += 1;
        confirm(key, asking, demands);
        const grants = isContinuation ? continueGrants(key, demands) : shareAnew(key, demands);
        if (isContinuation) {
            recordReport(vm.name);
        }
        const applied = demands.granter === granterName() ? [...asking.workspaces] : [];
        vms.set(key, {
            request: demands.request,
            askedAt: clock.now(),
            workspaces: new Set([...applied, ...grants.map(({ workspace }) => workspace)]),
        });
        options.metrics.countQuotaGrants(grants.length);
        return { request: demands.request, granter: granterName(), number, isContinuation, grants };
    }

    /** Logs the first answer after a takeover; there is none where no workspace has a quota. */
    function logOnce(isContinuation: boolean): void {
        if (!isLogged) {
            isLogged = true;
            options.log("quotas are granted anew", { granter: granterName(), isContinuation });
        }
    }

    /** Stops counting the grants that the VM does not follow and never will. */
    function confirm(key: string, { workspaces }: AskingVm, { granter, appliedNumber }: QuotaDemands): void {
        const followed = granter === granterName() ? appliedNumber : noNumber;
        for (const workspace of workspaces) {
            ledgers.get(workspace)?.confirm(key, followed);
        }
    }

    function* listLimited({ demands }: QuotaDemands): Generator<readonly [QuotaDemand, Quota]> {
        for (const demand of demands.slice(0, maximumDemands)) {
            const quota = quotaOf(demand.workspace);
            if (quota !== undefined) {
                yield [demand, quota];
            }
        }
    }

    function shareAnew(key: string, demands: QuotaDemands): readonly QuotaGrant[] {
        return [...listLimited(demands)].map(([demand, quota]) =>
            ledgerOf(demand.workspace, quota).grant(key, demand, number, quota)
        );
    }

    /** Goes on with the grants that the VM reports, except under a quota that is lower now. */
    function continueGrants(key: string, demands: QuotaDemands): readonly QuotaGrant[] {
        return [...listLimited(demands)].flatMap(([{ workspace, grant }, quota]) => {
            if (grant === undefined || isLower(quota, grant.quota)) {
                return [];
            }
            ledgerOf(workspace, quota).continueGrant(key, grant, number);
            return [{ workspace, ...grant, operations: 0, isLimited: false }];
        });
    }

    function ledgerOf(workspace: string, quota: Quota): QuotaLedger {
        let ledger = ledgers.get(workspace);
        if (ledger === undefined) {
            ledger = createQuotaLedger({ ...options, emptyAt: formerGrantsEndAt, firstQuota: quota });
            ledgers.set(workspace, ledger);
        }
        return ledger;
    }

    /** Forgets VMs and workspaces of which nothing counts any more. */
    function forgetIdle(): void {
        const now = clock.now();
        if (now - forgotAt < grantMilliseconds) {
            return;
        }
        forgotAt = now;
        for (const [key, { askedAt }] of vms) {
            if (now - askedAt > 2 * grantMilliseconds) {
                vms.delete(key);
            }
        }
        for (const [workspace, ledger] of ledgers) {
            if (ledger.isForgettable()) {
                ledgers.delete(workspace);
            }
        }
    }

    return { answerDemands, recordRenewal, startGranting };
}

function isLower(quota: Quota, former: Quota): boolean {
    return quota.operationsPerSecond < former.operationsPerSecond || quota.burstOperations < former.burstOperations;
}
