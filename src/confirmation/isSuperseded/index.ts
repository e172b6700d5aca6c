import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";

/**
 * Returns whether a term is superseded.
 *
 * A term is superseded when an endpoint serves under a higher term, or when a majority was fenced at a higher one. One
 * fenced endpoint of three does not supersede a term: the two others may still confirm positions.
 *
 * @param statuses Statuses that the group's endpoints reported, at most one for each.
 * @param term The term to check.
 * @param endpointCount Number of endpoints of the group.
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
