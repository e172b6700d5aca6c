import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { SessionServices } from "../types/SessionServices.js";

/** An answer of an endpoint. */
interface ReceivedAnswer {
    readonly answer: StatementAnswer;
    /** Returns the time since the statement was sent, in milliseconds. */
    readonly sinceSent: () => number;
    /** Whether only a primary executes the statement: a write, or the beginning of a transaction that may write. */
    readonly needsPrimary: boolean;
}

/**
 * Records the log position in an answer: the group's term and, from a verified primary, evidence for reads.
 *
 * @param connection The connection that returned the answer.
 * @param received The answer, and what it answers.
 * @param services Services that record it.
 *
 * @example
 * recordAnswer(connection, { answer, sinceSent, needsPrimary: true }, services);
 */
export function recordAnswer(
    connection: AcquiredConnection,
    { answer, sinceSent, needsPrimary }: ReceivedAnswer,
    services: Pick<SessionServices, "primaries" | "evidence" | "verification">,
): void {
    const { primaries, evidence, verification } = services;
    const { endpoint } = connection;
    if (answer.position === undefined) {
        return;
    }
    if (needsPrimary && answer.failure === undefined) {
        primaries.recordPositionAsPrimary(endpoint, answer.position);
    }
    else {
        primaries.recordPosition(endpoint, answer.position);
    }
    if (connection.isPrimary && verification.isVerified(endpoint)) {
        evidence.record(endpoint.group, sinceSent, answer.position);
    }
}
