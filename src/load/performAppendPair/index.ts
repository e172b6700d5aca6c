import { OperationKind } from "../../history/types/OperationKind.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { TransactionEndKind } from "../../messages/types/TransactionEndKind.js";
import { loadConstants } from "../constants.js";
import { encodeStatement } from "../encodeStatement/index.js";
import { resolveUnknownOutcome } from "../resolveUnknownOutcome/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { LoadStatement } from "../types/LoadStatement.js";
import type { OperationResult } from "../types/OperationResult.js";
import type { SessionState } from "../types/SessionState.js";

/**
 * Appends to both lists of a pair in a transaction of several requests, which may be sent to different entries.
 *
 * A transaction whose commit was never sent is recorded as not run, whatever the outcomes of its statements.
 *
 * @param services Services that the sessions share.
 * @param session The session that writes.
 * @param statement The write.
 * @param endKind Whether the transaction is committed or rolled back.
 * @returns The outcome of the operation.
 *
 * @example
 * await performAppendPair(services, session, statement, TransactionEndKind.Commit);
 */
export async function performAppendPair(
    services: LoadServices,
    session: SessionState,
    statement: LoadStatement,
    endKind: TransactionEndKind,
): Promise<OperationResult> {
    const { plan, random, target, client, balancer } = services;
    const requestKey = statement.value;

    function post(path: string, body: Readonly<Record<string, unknown>>): Promise<CallerReply> {
        const isRoaming = random.next() < plan.roamShare;
        const serving = target.entries.filter(entry => balancer?.isServing(entry) !== false);
        const otherEntry = serving[random.nextInteger(serving.length)];
        return client.post(isRoaming && otherEntry !== undefined ? otherEntry : session.entry, {
            path,
            callerKey: session.caller.key,
            body,
            timeoutMilliseconds: plan.deadlineMilliseconds + loadConstants.answerGraceMilliseconds,
        });
    }

    function end(transactionHandle: string, kind: TransactionEndKind): Promise<CallerReply> {
        return post("/v1/transactions/end", { transactionHandle, kind });
    }

    const beginReply = await post(`/v1/databases/${session.database}/transactions`, {
        sessionToken: session.token,
        isNewSession: session.token === undefined,
        requestKey,
        deadlineMilliseconds: plan.deadlineMilliseconds,
    });
    const handle = beginReply.transactionHandle;
    if (beginReply.outcome !== OutcomeKind.Answer || handle === undefined) {
        return { outcome: OutcomeKind.NotRun, reason: beginReply.reason ?? "NotBegun" };
    }
    for (const list of statement.lists) {
        const appendReply = await post("/v1/transactions/statements", {
            transactionHandle: handle,
            kind: RequestKind.Write,
            statement: encodeStatement({ kind: OperationKind.Append, lists: [list], value: statement.value }),
        });
        if (appendReply.outcome !== OutcomeKind.Answer) {
            await end(handle, TransactionEndKind.Rollback);
            return { outcome: OutcomeKind.NotRun, reason: appendReply.reason ?? "NotCommitted" };
        }
    }
    const endReply = await end(handle, endKind);
    if (endKind === TransactionEndKind.Rollback) {
        return { ...endReply, outcome: OutcomeKind.NotRun, reason: "RolledBack" };
    }
    return endReply.outcome === OutcomeKind.OutcomeUnknown && requestKey !== undefined
        ? resolveUnknownOutcome(services, session, requestKey)
        : endReply;
}
