import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { TransactionBeginReply } from "../../messages/types/TransactionBeginReply.js";
import { executionConstants } from "../constants.js";
import { encodeTransactionHandle } from "../encodeTransactionHandle/index.js";
import { isFinalRefusal } from "../isFinalRefusal/index.js";
import { listAttempts } from "../listAttempts/index.js";
import { readSessionRequirements } from "../readSessionRequirements/index.js";
import { scopeRequestKey } from "../scopeRequestKey/index.js";
import { sendToOwner } from "../sendToOwner/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";
import type { TransactionBeginRequest } from "../types/TransactionBeginRequest.js";

/**
 * Opens a transaction at the primary. No statement has run yet, so a request whose answer was lost is retried.
 *
 * @param context The services used.
 * @param request The caller's request; its deadline is that of the whole transaction.
 * @param deadline Time by which the transaction must have ended.
 * @returns An answer with the transaction handle, or `NotRun` with the reason.
 * @throws TarragonpostError of kind `InvalidToken`.
 *
 * @example
 * const reply = await beginTransaction(context, request, deadline);
 */
export async function beginTransaction(
    context: ExecutionContext,
    request: TransactionBeginRequest,
    deadline: Deadline,
): Promise<CallerReply> {
    const { requestId, caller, database } = request;
    const requirements = readSessionRequirements(context, request);
    const requestKey = scopeRequestKey(caller, request.requestKey);
    let { leastTerm } = requirements;
    let refusal = createNotRun(NotRunReason.NoPrimary, `No primary of ${database} is known. Retry in a moment.`);
    for await (const _attempt of listAttempts({ context, database, deadline })) {
        const group = await context.topology.waitForTerm(database, leastTerm, deadline.timeLeft());
        if (group === undefined) {
            break;
        }
        const { primary, term } = group;
        let gateway: PeerRecord | undefined;
        const reply = await sendToOwner<TransactionBeginReply>(context, primary, owner => {
            gateway = owner;
            return context.gateways.beginTransaction(owner, {
                requestId,
                database,
                endpoint: primary,
                term,
                leastPosition: requirements.leastPosition,
                waitMilliseconds: 0,
                caller,
                requestKey,
                timeLeftMilliseconds: Math.max(1, deadline.timeLeft() - executionConstants.replyMarginMilliseconds),
            });
        });
        if (reply.outcome === OutcomeKind.Answer && gateway !== undefined) {
            const { host, port, availabilityZone } = gateway;
            const { transactionId } = reply;
            const { sessionToken } = request;
            const transactionHandle = encodeTransactionHandle({
                caller,
                database,
                endpoint: primary,
                term,
                transactionId,
                gateway: { host, port, availabilityZone },
                sessionToken,
                requestKey,
            }, context.configuration.current().content.tokenSecret);
            return { outcome: OutcomeKind.Answer, requestId, transactionHandle, sessionToken };
        }
        if (reply.outcome === OutcomeKind.NotRun) {
            refusal = reply;
            leastTerm = Math.max(leastTerm, reply.newerTerm ?? 0);
            if (isFinalRefusal(reply.reason)) {
                break;
            }
        }
    }
    return { outcome: OutcomeKind.NotRun, requestId, reason: refusal.reason, message: refusal.message };
}
