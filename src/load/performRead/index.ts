import { ReadGuarantee } from "../../history/types/ReadGuarantee.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { loadConstants } from "../constants.js";
import { encodeStatement } from "../encodeStatement/index.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { LoadStatement } from "../types/LoadStatement.js";
import type { OperationResult } from "../types/OperationResult.js";
import type { SessionState } from "../types/SessionState.js";

/** Creates the request fields that select a guarantee. */
type CreateRequestFields = (services: LoadServices, session: SessionState) => Readonly<Record<string, unknown>>;

const requestFieldsByGuarantee: Readonly<Record<ReadGuarantee, CreateRequestFields>> = {
    [ReadGuarantee.Session]: (_services, session) => ({ sessionToken: session.token }),
    [ReadGuarantee.Latest]: () => ({}),
    [ReadGuarantee.Any]: () => ({ isNewSession: true }),
    [ReadGuarantee.Age]: ({ plan }, session) => ({
        sessionToken: session.token,
        isNewSession: session.token === undefined,
        maximumAgeMilliseconds: plan.maximumAgeMilliseconds,
    }),
};

/**
 * Reads a list or a pair with one guarantee.
 *
 * @param services Services that the sessions share.
 * @param session The session that reads.
 * @param statement The read.
 * @param guarantee The guarantee of the read.
 * @returns The outcome of the operation.
 *
 * @example
 * await performRead(services, session, statement, ReadGuarantee.Session);
 */
export function performRead(
    services: LoadServices,
    session: SessionState,
    statement: LoadStatement,
    guarantee: ReadGuarantee,
): Promise<OperationResult> {
    const { client, plan } = services;
    return client.post(session.entry, {
        path: `/v1/databases/${session.database}/statements`,
        callerKey: session.caller.key,
        body: {
            kind: RequestKind.Read,
            statement: encodeStatement(statement),
            deadlineMilliseconds: plan.deadlineMilliseconds,
            ...requestFieldsByGuarantee[guarantee](services, session),
        },
        timeoutMilliseconds: plan.deadlineMilliseconds + loadConstants.answerGraceMilliseconds,
    });
}
