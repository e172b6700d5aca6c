import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";

/** Fields of a status that show whether the endpoint holds an entry. */
type ConfirmingStatus = Pick<EndpointStatus, "role" | "term" | "position">;

/**
 * Returns whether a position written under a term is held by a majority of the group.
 *
 * Only endpoints that serve under exactly that term count: an endpoint of another term may hold another entry at the
 * same position, and an endpoint that is still copying the log with which the term started may be fenced before it
 * holds the entry.
 *
 * @param statuses Statuses of the group's endpoints, the primary's among them.
 * @param entry Term and position of the entry.
 * @param majority Number of endpoints that make up a majority of the group.
 * @returns True when the entry is confirmed.
 *
 * @example
 * isHeldByMajority(statuses, { term: 4, position: 120 }, majorityOf(3));
 */
export function isHeldByMajority(
    statuses: readonly ConfirmingStatus[],
    entry: { readonly term: number; readonly position: number; },
    majority: number,
): boolean {
    const holders = statuses.filter(status =>
        status.role !== EndpointRole.Detached && status.term === entry.term && status.position >= entry.position
    );
    return holders.length >= majority;
}
