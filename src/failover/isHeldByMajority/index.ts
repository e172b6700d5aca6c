import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";

/** What a status must show. */
type ConfirmingStatus = Pick<EndpointStatus, "role" | "term" | "position">;

/**
 * Tells whether a position written under a term is held by a majority of the group.
 *
 * Only endpoints that serve under exactly that term count: an endpoint of another term may hold another entry at the
 * same position, and one that is still copying the term's starting log may yet be fenced without it.
 *
 * @param statuses Statuses of the group's endpoints, the primary's among them.
 * @param entry Term and position of the entry.
 * @param majority Endpoints that make up a majority of the group.
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
