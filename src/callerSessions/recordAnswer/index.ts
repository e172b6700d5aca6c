import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { SessionServices } from "../types/SessionServices.js";

/**
 * Records the log position in an answer: the group's term and, from a verified primary, evidence for reads.
 *
 * @param connection The connection that returned the answer.
 * @param sinceSent Returns the time since the statement was sent, in milliseconds.
 * @param answer The answer.
 * @param services Services that record it.
 *
 * @example
 * recordAnswer(connection, sinceSent, answer, services);
 */
export function recordAnswer(
    connection: AcquiredConnection,
    sinceSent: () => number,
    answer: StatementAnswer,
    services: Pick<SessionServices, "primaries" | "evidence" | "verification">,
): void {
    const { primaries, evidence, verification } = services;
    const { endpoint } = connection;
    if (answer.position === undefined) {
        return;
    }
    primaries.recordPosition(endpoint, answer.position);
    if (connection.isPrimary && verification.isVerified(endpoint)) {
        evidence.record(endpoint.group, sinceSent, answer.position);
    }
}
