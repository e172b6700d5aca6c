import { OperationKind } from "../../history/types/OperationKind.js";
import { ReadGuarantee } from "../../history/types/ReadGuarantee.js";
import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { TransactionEndKind } from "../../messages/types/TransactionEndKind.js";
import { loadConstants } from "../constants.js";
import { drawGuarantee } from "../drawGuarantee/index.js";
import { performAppend } from "../performAppend/index.js";
import { performAppendPair } from "../performAppendPair/index.js";
import { performRead } from "../performRead/index.js";
import { readListResult } from "../readListResult/index.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { LoadStatement } from "../types/LoadStatement.js";
import type { OperationResult } from "../types/OperationResult.js";
import type { SessionState } from "../types/SessionState.js";

type Perform = (
    services: LoadServices,
    session: SessionState,
    statement: LoadStatement,
    guarantee: ReadGuarantee | undefined,
) => Promise<OperationResult>;

const performRecordedRead: Perform = (services, session, statement, guarantee) =>
    performRead(services, session, statement, guarantee as ReadGuarantee);

function drawRequestKey({ plan, random }: LoadServices, statement: LoadStatement): string | undefined {
    return random.next() < plan.keylessShare ? undefined : statement.value;
}

const performers: Readonly<Record<OperationKind, Perform>> = {
    [OperationKind.ReadList]: performRecordedRead,
    [OperationKind.ReadPair]: performRecordedRead,
    [OperationKind.Append]: (services, session, statement) =>
        performAppend(services, session, statement, drawRequestKey(services, statement)),
    [OperationKind.AppendPair]: (services, session, statement) => {
        const drawn = services.random.next();
        if (drawn < loadConstants.singleStatementShare) {
            return performAppend(services, session, statement, drawRequestKey(services, statement));
        }
        const isRollback = drawn > 1 - loadConstants.rollbackShare;
        const endKind = isRollback ? TransactionEndKind.Rollback : TransactionEndKind.Commit;
        return performAppendPair(services, session, statement, endKind);
    },
};

/**
 * Runs one operation of a session and records it.
 *
 * The session token in an answer replaces the token of the session.
 *
 * @param services Services that the sessions share.
 * @param session The session.
 * @param statement The operation's statement.
 * @returns The recorded operation.
 *
 * @example
 * const operation = await performOperation(services, session, drawStatement(services, session));
 */
export async function performOperation(
    services: LoadServices,
    session: SessionState,
    statement: LoadStatement,
): Promise<RecordedOperation> {
    const guarantee = statement.value === undefined ? drawGuarantee(services, session) : undefined;
    const hasOwnSession = guarantee === ReadGuarantee.Age
        && services.random.next() < loadConstants.singleReadSessionShare;
    return hasOwnSession
        ? performAndRecord(services, createSingleReadSession(services, session), statement, guarantee)
        : performAndRecord(services, session, statement, guarantee);
}

/** Creates a session for a single read, whose guarantee is only the maximum age. */
function createSingleReadSession({ history }: LoadServices, session: SessionState): SessionState {
    return { ...session, name: `${session.name}-detached-${history.operations.length}`, token: undefined };
}

async function performAndRecord(
    services: LoadServices,
    session: SessionState,
    statement: LoadStatement,
    guarantee: ReadGuarantee | undefined,
): Promise<RecordedOperation> {
    const { clock, history, plan } = services;
    const invokedAt = clock.now();
    const result = await performers[statement.kind](services, session, statement, guarantee);
    const isAnswer = result.outcome === OutcomeKind.Answer;
    if (isAnswer) {
        session.token = result.sessionToken ?? session.token;
    }
    const operation: RecordedOperation = {
        ...statement,
        database: session.database,
        caller: session.caller.name,
        session: session.name,
        guarantee,
        maximumAgeMilliseconds: guarantee === ReadGuarantee.Age ? plan.maximumAgeMilliseconds : undefined,
        invokedAt,
        completedAt: clock.now(),
        outcome: result.outcome,
        reason: result.reason,
        contents: isAnswer ? readListResult(statement.kind, statement.lists, result.result) : undefined,
        ageMilliseconds: result.ageMilliseconds,
        servedBy: result.servedBy,
    };
    history.record(operation);
    return operation;
}
