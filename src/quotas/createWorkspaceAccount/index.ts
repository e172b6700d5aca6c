import type { Clock } from "../../clock/types/Clock.js";
import type { Quota } from "../../workspaces/types/Quota.js";
import { quotaConstants } from "../constants.js";
import { createDemandMeter } from "../createDemandMeter/index.js";
import { createGrantedOperations } from "../createGrantedOperations/index.js";
import { createUngrantedOperations } from "../createUngrantedOperations/index.js";
import type { QuotaDecision } from "../types/QuotaDecision.js";
import type { QuotaExcess } from "../types/QuotaExcess.js";
import { QuotaOutcome } from "../types/QuotaOutcome.js";
import type { WorkspaceAccount } from "../types/WorkspaceAccount.js";

/** Options of `createWorkspaceAccount`. */
interface WorkspaceAccountOptions {
    readonly clock: Clock;
    readonly workspace: string;
    readonly excess: QuotaExcess;
    /** Time at which this process started, in milliseconds. */
    readonly startedAt: number;
    /** Returns the greatest number of VMs that this process knew at once. */
    readonly vmCount: () => number;
    /** Whether the holder answers the demands of this VM. */
    readonly isAnswered: () => boolean;
    /** Called with each decision. */
    readonly onDecision: (outcome: QuotaOutcome) => void;
}

/** An operation that waits. */
interface WaitingOperation {
    readonly waitsUntil: number;
    readonly decide: (decision: QuotaDecision) => void;
}

const { maximumWaiting, maximumWaitMilliseconds, maximumRetryMilliseconds, minimumRetryMilliseconds } = quotaConstants;

/**
 * Creates the account of one workspace at one VM: it decides on each operation from what the VM was granted, and otherwise
 * from what it may admit without a grant.
 *
 * An operation waits, after those that came before, while its turn is about to come. It does not wait when the workspace
 * asks for more than its quota, or when the holder does not answer.
 *
 * @param options Clock, name of the workspace, excess, and what the VM knows of the fleet.
 * @returns The account, without a grant.
 *
 * @example
 * const decision = await account.take(workspace.quota);
 */
export function createWorkspaceAccount(options: WorkspaceAccountOptions): WorkspaceAccount {
    const { clock, excess, onDecision } = options;
    const granted = createGrantedOperations(clock, excess.windowMilliseconds);
    const ungranted = createUngrantedOperations(options);
    const meter = createDemandMeter(clock);
    const waiting: WaitingOperation[] = [];
    let quota: Quota = { operationsPerSecond: 0, burstOperations: 0 };
    let cancelTimer = (): void => {};

    function take(currentQuota: Quota): QuotaDecision | Promise<QuotaDecision> {
        quota = currentQuota;
        meter.count();
        const refund = waiting.length === 0 ? granted.take(quota) : undefined;
        if (refund !== undefined) {
            return admit(refund, QuotaOutcome.Granted);
        }
        if (mayWaitForGranted()) {
            return enqueue();
        }
        const giveBack = granted.current() === undefined ? ungranted.take(quota) : undefined;
        if (giveBack !== undefined) {
            return admit(giveBack, QuotaOutcome.WithoutGrant);
        }
        return mayWaitForGrant() ? enqueue() : refuse();
    }

    function admit(refund: () => void, outcome: QuotaOutcome): QuotaDecision {
        onDecision(outcome);
        return { isAdmitted: true, refund };
    }

    function refuse(): QuotaDecision {
        onDecision(QuotaOutcome.Refused);
        const milliseconds = granted.current() === undefined
            ? quotaConstants.retryWithoutGrantMilliseconds
            : granted.timeUntil(waiting.length + 1);
        const bounded = Math.min(Math.max(milliseconds, minimumRetryMilliseconds), maximumRetryMilliseconds);
        return { isAdmitted: false, retryAfterMilliseconds: Math.ceil(bounded) };
    }

    /** Whether the present grant suffices for one more operation soon enough. */
    function mayWaitForGranted(): boolean {
        return mayWait() && granted.timeUntil(waiting.length + 1) <= maximumWaitMilliseconds;
    }

    /** Whether the next grant may bring more operations. */
    function mayWaitForGrant(): boolean {
        return mayWait() && options.isAnswered();
    }

    function mayWait(): boolean {
        return waiting.length < maximumWaiting && granted.current()?.isLimited !== true;
    }

    function enqueue(): Promise<QuotaDecision> {
        return new Promise(resolve => {
            waiting.push({ waitsUntil: clock.now() + maximumWaitMilliseconds, decide: resolve });
            if (waiting.length === 1) {
                startTimer();
            }
        });
    }

    /** Decides on the operations whose turn has come or whose time is over, in order. */
    function decideWaiting(): void {
        cancelTimer();
        while (waiting.length > 0) {
            const refund = granted.take(quota);
            if (refund === undefined && clock.now() < waiting[0]!.waitsUntil) {
                startTimer();
                return;
            }
            const { decide } = waiting.shift()!;
            decide(refund === undefined ? refuse() : admit(refund, QuotaOutcome.Waited));
        }
    }

    function startTimer(): void {
        const untilEnd = waiting[0]!.waitsUntil - clock.now();
        const milliseconds = Math.max(1, Math.min(untilEnd, Math.ceil(granted.timeUntil(1))));
        cancelTimer = clock.startTimer(milliseconds, decideWaiting);
    }

    return {
        take,
        idleMilliseconds: () => waiting.length > 0 ? 0 : meter.idleMilliseconds(),
        createDemand: isGrantReported => {
            const grant = isGrantReported ? granted.describe() : undefined;
            return {
                workspace: options.workspace,
                operationsPerSecond: meter.read(),
                waitingOperations: waiting.length,
                heldOperations: granted.count(),
                ...grant === undefined ? {} : { grant },
            };
        },
        apply: (grant, elapsed, isContinuation) => {
            granted.apply(grant, elapsed, isContinuation);
            decideWaiting();
        },
        end: granted.end,
    };
}
