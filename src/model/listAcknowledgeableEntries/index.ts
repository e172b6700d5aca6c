import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { ModelRules } from "../types/ModelRules.js";
import type { ModelState } from "../types/ModelState.js";

/**
 * Lists the entries that a gateway may acknowledge under a term.
 *
 * @param state The state.
 * @param term The term under which the entries were confirmed.
 * @param rules The rules.
 * @returns Entries of the term's primary that are confirmed and not yet acknowledged.
 *
 * @example
 * const entries = listAcknowledgeableEntries(state, 2, rules);
 */
export function listAcknowledgeableEntries(state: ModelState, term: number, rules: ModelRules): readonly number[] {
    const attempt = state.attempts[term - 1];
    const primary = attempt?.primary === undefined ? undefined : state.endpoints[attempt.primary];
    if (attempt === undefined || primary === undefined || primary.term !== term) {
        return [];
    }
    const statuses = attempt.reported.map((position, number) => ({
        role: number === attempt.primary ? EndpointRole.Primary : EndpointRole.Replica,
        term: position > 0 ? term : 0,
        position,
    }));
    const markerPosition = rules.hasMarker ? primary.log.indexOf(-term) + 1 : 1;
    if (markerPosition === 0) {
        return [];
    }
    return primary.log.filter((entry, index) => {
        const position = Math.max(index + 1, markerPosition);
        return entry > 0 && !state.acknowledged.includes(entry)
            && rules.isHeldByMajority(statuses, { term, position }, rules.majority);
    });
}
