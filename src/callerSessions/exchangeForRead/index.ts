import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { listRoleQuery } from "../../primaries/listRoleQuery/index.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { SessionServices } from "../types/SessionServices.js";

/** Answers to statements that a replica executes as well. */
interface ReadExchange {
    readonly answers: readonly StatementAnswer[];
    /**
     * Whether the endpoint is known not to have stepped down just before it executed the statements; always true for a
     * replica, whose answers are checked by log position instead.
     */
    readonly isProven: boolean;
}

/**
 * Sends statements that a replica executes as well: a read, or the beginning of a transaction that only reads. Unless a
 * lease vouches for the primary, it is asked for its role just before it executes them, on the same connection.
 *
 * @param connection A connection on which no transaction is open.
 * @param statements The statements.
 * @param timeoutMilliseconds Time limit of the answers.
 * @param services The known primaries, which are updated, and their verification.
 * @returns The answers to the statements, and whether the endpoint proved to be the primary.
 * @throws TarragonpostError when the answers do not arrive in time.
 *
 * @example
 * const { answers, isProven } = await exchangeForRead(connection, statements, 600, services);
 */
export async function exchangeForRead(
    connection: AcquiredConnection,
    statements: readonly OutgoingStatement[],
    timeoutMilliseconds: number,
    { primaries, verification }: Pick<SessionServices, "primaries" | "verification">,
): Promise<ReadExchange> {
    const { endpoint, isPrimary } = connection;
    if (!isPrimary || verification.isVerified(endpoint)) {
        const answers = await connection.exchange(statements, timeoutMilliseconds);
        return { answers, isProven: !isPrimary || verification.isVerified(endpoint) };
    }
    const [begin, , ...answers] = await connection.exchange([...listRoleQuery(), ...statements], timeoutMilliseconds);
    if (begin?.failure?.code === FailureCode.ReadOnly) {
        primaries.recordNotPrimary(endpoint);
    }
    const isProven = begin !== undefined && begin.failure === undefined;
    if (isProven && begin.position !== undefined) {
        primaries.recordPositionAsPrimary(endpoint, begin.position);
    }
    return { answers, isProven };
}
