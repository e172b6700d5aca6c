import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { TransactionEndKind } from "../../messages/types/TransactionEndKind.js";
import { executionConstants } from "../constants.js";
import { createAnswer } from "../createAnswer/index.js";
import { decodeTransactionHandle } from "../decodeTransactionHandle/index.js";
import { lookUpRequestKey } from "../lookUpRequestKey/index.js";
import { readSessionRequirements } from "../readSessionRequirements/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";
import type { TransactionHandle } from "../types/TransactionHandle.js";
import type { TransactionStepRequest } from "../types/TransactionStepRequest.js";

/** A caller's request to end a transaction. */
interface EndRequest extends TransactionStepRequest {
    readonly kind: TransactionEndKind;
}

/**
 * Commits or rolls back a transaction. The outcome of a commit whose answer was lost is looked up under the
 * transaction's request key; without one it is unknown.
 *
 * @param context The services used.
 * @param step The transaction's handle and whether to commit or roll back.
 * @param deadline Time by which the request must have ended.
 * @returns The outcome.
 * @throws TarragonpostError of kind `InvalidToken`.
 *
 * @example
 * const reply = await endTransaction(context, { ...step, kind: TransactionEndKind.Commit }, deadline);
 */
export async function endTransaction(
    context: ExecutionContext,
    step: EndRequest,
    deadline: Deadline,
): Promise<CallerReply> {
    const { requestId, caller } = step;
    const { tokenSecret } = context.configuration.current().content;
    const handle = decodeTransactionHandle(step.transactionHandle, caller, tokenSecret);
    const reply = await sendEnd(context, step, handle, deadline);
    if (reply.outcome === OutcomeKind.Answer) {
        const { database, endpoint, sessionToken } = handle;
        const { token } = readSessionRequirements(context, { caller, database, sessionToken });
        return step.kind === TransactionEndKind.Rollback
            ? { outcome: OutcomeKind.Answer, requestId, sessionToken }
            : createAnswer(context, { requestId, database, token, endpoint, isPrimary: true, reply });
    }
    const isKeyedCommit = step.kind === TransactionEndKind.Commit && handle.requestKey !== undefined;
    if (reply.outcome === OutcomeKind.OutcomeUnknown && isKeyedCommit) {
        const { database, sessionToken, requestKey } = handle;
        return lookUpRequestKey(context, { requestId, caller, database, sessionToken }, requestKey as string, deadline);
    }
    return { ...reply, requestId };
}

async function sendEnd(
    context: ExecutionContext,
    step: EndRequest,
    handle: TransactionHandle,
    deadline: Deadline,
): Promise<EndpointReply> {
    try {
        return await context.gateways.endTransaction(handle.gateway, {
            transactionId: handle.transactionId,
            caller: step.caller,
            kind: step.kind,
            timeLeftMilliseconds: Math.max(1, deadline.timeLeft() / 2 - executionConstants.replyMarginMilliseconds),
        });
    }
    catch (error) {
        const { message } = toTypedError(error);
        return isTypedError(toTypedError(error), ErrorKind.Unreachable)
            ? createNotRun(NotRunReason.TransactionOver, `${message} The transaction is rolled back; begin a new one.`)
            : { outcome: OutcomeKind.OutcomeUnknown, message };
    }
}
