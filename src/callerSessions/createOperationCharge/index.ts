import type { Quotas } from "../../quotas/types/Quotas.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { Workspace } from "../../workspaces/types/Workspace.js";
import { createFailure } from "../createFailure/index.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/** The charge of one session's operations to the quota of its workspace. */
interface OperationCharge {
    /** Charges the operation that begins; returns the failure when the quota does not admit it. */
    begin(workspace: Workspace | undefined): Promise<StatementOutcome | undefined>;
    /** Records the outcome of the operation's first statement: one that did not run is not charged. */
    settle(outcome: StatementOutcome): void;
    /** Records that the operation ended; without a statement it is not charged. */
    end(): void;
}

/** Failures after which nothing of the statement has run. */
const notRunCodes: ReadonlySet<FailureCode> = new Set([
    FailureCode.Busy,
    FailureCode.Lagging,
    FailureCode.ReadOnly,
    FailureCode.Misrouted,
    FailureCode.ConnectionLimit,
]);

/**
 * Creates the charge of a session's operations. An operation is a statement outside a transaction, or a transaction; it
 * is charged once, whatever the number of its statements and of attempts to run them.
 *
 * @param quotas The quotas of all workspaces.
 * @returns The charge, with no operation begun.
 *
 * @example
 * const refusal = await charge.begin(context.identity.workspace);
 */
export function createOperationCharge(quotas: Quotas): OperationCharge {
    let refund: (() => void) | undefined;

    async function begin(workspace: Workspace | undefined): Promise<StatementOutcome | undefined> {
        if (workspace === undefined) {
            return undefined;
        }
        const decision = await quotas.take(workspace);
        if (decision.isAdmitted) {
            refund = decision.refund;
            return undefined;
        }
        const wait = Math.ceil(decision.retryAfterMilliseconds);
        return createFailure(FailureCode.Busy, `the workspace's quota is used up; retry after ${wait} ms`);
    }

    function settle({ failure }: StatementOutcome): void {
        if (failure !== undefined && notRunCodes.has(failure.code)) {
            refund?.();
        }
        refund = undefined;
    }

    function end(): void {
        refund?.();
        refund = undefined;
    }

    return { begin, settle, end };
}
