import type { EndpointLease } from "../../placement/types/EndpointLease.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { SessionServices } from "../types/SessionServices.js";

/**
 * Takes in what an answer tells of the group: its term, and how far the primary's log reaches.
 *
 * @param lease The connection that answered.
 * @param sentAt When the statement was sent.
 * @param answer The answer.
 * @param services Where it is noted.
 *
 * @example
 * noteAnswer(lease, sentAt, answer, services);
 */
export function noteAnswer(
    lease: EndpointLease,
    sentAt: number,
    answer: StatementAnswer,
    services: Pick<SessionServices, "primaries" | "evidence" | "certainty">,
): void {
    const { primaries, evidence, certainty } = services;
    const { endpoint } = lease;
    if (answer.position === undefined) {
        return;
    }
    primaries.notePosition(endpoint, answer.position);
    if (lease.isPrimary && certainty.isSure(endpoint) && answer.position.term >= primaries.termOf(endpoint.group)) {
        evidence.note(endpoint.group, sentAt, answer.position);
    }
}
