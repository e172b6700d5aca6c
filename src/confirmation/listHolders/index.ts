import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { ConfirmationRule } from "../types/ConfirmationRule.js";

/**
 * Lists the replicas that hold a position of a term.
 *
 * A replica counts only if it follows exactly that term: it then holds the whole log with which the primary started the
 * term, so its entry at the position is the primary's.
 *
 * @param statuses Statuses that the group's endpoints reported, at most one for each.
 * @param rule Term and position.
 * @returns The names of the replicas.
 *
 * @example
 * const [confirmedBy] = listHolders(statuses, { term: 4, position: 120 });
 */
export function listHolders(
    statuses: readonly EndpointStatus[],
    rule: Pick<ConfirmationRule, "term" | "position">,
): string[] {
    return statuses
        .filter(({ role, term, position }) =>
            role === EndpointRole.Replica && term === rule.term && position >= rule.position
        )
        .map(status => status.endpoint);
}
