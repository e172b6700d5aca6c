import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { ConfirmationRule } from "../types/ConfirmationRule.js";

/**
 * Tells whether a majority of a group holds a position in a term.
 *
 * The primary of the term holds it, as it assigned it. A replica counts only if it follows that very term, for it
 * then holds the primary's whole starting log, so its entry at the position is the primary's.
 *
 * @param statuses Statuses that the group's endpoints reported, at most one for each.
 * @param rule Term, position and size of the group.
 * @returns True when enough replicas of the term reported the position or a later one.
 *
 * @example
 * isConfirmed(statuses, { term: 4, position: answer.position, endpointCount: 3 });
 */
export function isConfirmed(statuses: readonly EndpointStatus[], rule: ConfirmationRule): boolean {
    const holders = statuses.filter(status =>
        status.role === EndpointRole.Replica && status.term === rule.term && status.position >= rule.position
    );
    const neededReplicas = Math.floor(rule.endpointCount / 2);
    return holders.length >= neededReplicas;
}
