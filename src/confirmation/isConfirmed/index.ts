import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import { listHolders } from "../listHolders/index.js";
import type { ConfirmationRule } from "../types/ConfirmationRule.js";

/**
 * Returns whether a majority of a group holds a position in a term.
 *
 * The primary of the term holds the position, since it assigned it; the other holders must be replicas of that term.
 *
 * @param statuses Statuses that the group's endpoints reported, at most one for each.
 * @param rule Term, position and size of the group.
 * @returns True when enough replicas of the term reported the position or a later one.
 *
 * @example
 * isConfirmed(statuses, { term: 4, position: answer.position, endpointCount: 3 });
 */
export function isConfirmed(statuses: readonly EndpointStatus[], rule: ConfirmationRule): boolean {
    return listHolders(statuses, rule).length >= Math.floor(rule.endpointCount / 2);
}
