import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { RequestKind } from "../../messages/types/RequestKind.js";
import { executionConstants } from "../constants.js";
import { decodeTransactionHandle } from "../decodeTransactionHandle/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";
import type { TransactionStepRequest } from "../types/TransactionStepRequest.js";

/** A caller's request to run one statement of a transaction. */
interface StatementRequest extends TransactionStepRequest {
    readonly kind: RequestKind;
    readonly statement: unknown;
}

/**
 * Runs one statement of an open transaction at the gateway that holds it.
 *
 * @param context The services used.
 * @param step The statement and the transaction's handle.
 * @param deadline Time by which the request must have ended.
 * @returns The outcome; unknown when the gateway's answer was lost, since the transaction may still be committed.
 * @throws TarragonpostError of kind `InvalidToken`.
 *
 * @example
 * const reply = await executeInTransaction(context, step, deadline);
 */
export async function executeInTransaction(
    context: ExecutionContext,
    step: StatementRequest,
    deadline: Deadline,
): Promise<CallerReply> {
    const { requestId, caller, kind, statement } = step;
    const { tokenSecret } = context.configuration.current().content;
    const handle = decodeTransactionHandle(step.transactionHandle, caller, tokenSecret);
    try {
        const reply = await context.gateways.executeInTransaction(handle.gateway, {
            transactionId: handle.transactionId,
            caller,
            kind,
            statement,
            timeLeftMilliseconds: Math.max(1, deadline.timeLeft() - executionConstants.replyMarginMilliseconds),
        });
        if (reply.outcome === OutcomeKind.Answer) {
            return { outcome: OutcomeKind.Answer, requestId, result: reply.result };
        }
        return { ...reply, requestId };
    }
    catch (error) {
        const { message } = toTypedError(error);
        return isTypedError(toTypedError(error), ErrorKind.Unreachable)
            ? {
                outcome: OutcomeKind.NotRun,
                requestId,
                reason: NotRunReason.TransactionOver,
                message: `${message} The transaction is rolled back; begin a new one.`,
            }
            : {
                outcome: OutcomeKind.OutcomeUnknown,
                requestId,
                message: `${message} Roll the transaction back and begin a new one.`,
            };
    }
}
