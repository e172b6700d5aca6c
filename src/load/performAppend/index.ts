import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { loadConstants } from "../constants.js";
import { encodeStatement } from "../encodeStatement/index.js";
import { resolveUnknownOutcome } from "../resolveUnknownOutcome/index.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { LoadStatement } from "../types/LoadStatement.js";
import type { OperationResult } from "../types/OperationResult.js";
import type { SessionState } from "../types/SessionState.js";

/**
 * Writes in one statement; an unknown outcome is looked up if the write has a request key.
 *
 * @param services Services that the sessions share.
 * @param session The session that writes.
 * @param statement The write.
 * @param requestKey The request key; a write without one is never looked up.
 * @returns The outcome of the operation.
 *
 * @example
 * await performAppend(services, session, { kind: OperationKind.Append, lists, value }, value);
 */
export async function performAppend(
    services: LoadServices,
    session: SessionState,
    statement: LoadStatement,
    requestKey: string | undefined,
): Promise<OperationResult> {
    const { client, plan } = services;
    const reply = await client.post(session.entry, {
        path: `/v1/databases/${session.database}/statements`,
        callerKey: session.caller.key,
        body: {
            kind: RequestKind.Write,
            statement: encodeStatement(statement),
            sessionToken: session.token,
            isNewSession: session.token === undefined,
            requestKey,
            deadlineMilliseconds: plan.deadlineMilliseconds,
        },
        timeoutMilliseconds: plan.deadlineMilliseconds + loadConstants.answerGraceMilliseconds,
    });
    return reply.outcome === OutcomeKind.OutcomeUnknown && requestKey !== undefined
        ? resolveUnknownOutcome(services, session, requestKey)
        : reply;
}
