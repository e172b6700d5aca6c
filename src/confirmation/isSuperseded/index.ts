import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";

/**
 * Tells whether a term is over.
 *
 * It is when an endpoint serves under a higher term, or when a majority was fenced at a higher one. One fenced
 * endpoint alone does not end a term: the two others may still confirm.
 *
 * @param statuses Statuses that the group's endpoints reported, at most one for each.
 * @param term The term asked about.
 * @param endpointCount Endpoints of the group.
 * @returns True when nothing more can be confirmed in the term.
 *
 * @example
 * if (isSuperseded(statuses, write.term, 3)) { return ConfirmationOutcome.Superseded; }
 */
export function isSuperseded(statuses: readonly EndpointStatus[], term: number, endpointCount: number): boolean {
    const isServedHigher = statuses.some(status => status.role !== EndpointRole.Detached && status.term > term);
    const fencedHigher = statuses.filter(status => status.fencedTerm > term);
    return isServedHigher || fencedHigher.length > endpointCount / 2;
}
