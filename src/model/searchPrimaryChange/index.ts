import { listChangeSteps } from "../listChangeSteps/index.js";
import { ChangePhase } from "../types/ChangePhase.js";
import type { ChangeRules } from "../types/ChangeRules.js";
import type { ChangeState } from "../types/ChangeState.js";
import { WritePhase } from "../types/WritePhase.js";

/** Result of a search that visits every reachable state. */
interface ChangeSearchResult {
    readonly states: number;
    /** A state with an acknowledged write that the old primary committed after the successor became the primary. */
    readonly violation?: ChangeState;
}

const initialState: ChangeState = {
    phase: ChangePhase.Serving,
    isCut: false,
    hasLease: false,
    isFormerLease: false,
    hasReceivedAnnouncement: false,
    hasConfirmed: false,
    hasSteppedDown: false,
    write: WritePhase.Waiting,
    isCommittedAfterChange: false,
    isVerified: false,
};

/**
 * Searches every interleaving of a change of the primary for a write that is acknowledged although the old primary
 * committed it after the successor became the primary.
 *
 * @param rules The rules of the change.
 * @returns The number of visited states, and a violation if there is one.
 *
 * @example
 * searchPrimaryChange(rules).violation; // => undefined
 */
export function searchPrimaryChange(rules: ChangeRules): ChangeSearchResult {
    const visited = new Set([JSON.stringify(initialState)]);
    const pending = [initialState];
    for (let state = pending.pop(); state !== undefined; state = pending.pop()) {
        if (state.write === WritePhase.Acknowledged && state.isCommittedAfterChange) {
            return { states: visited.size, violation: state };
        }
        for (const next of listChangeSteps(state, rules)) {
            const key = JSON.stringify(next);
            if (!visited.has(key)) {
                visited.add(key);
                pending.push(next);
            }
        }
    }
    return { states: visited.size };
}
