import { listChangeSteps } from "../listChangeSteps/index.js";
import { ChangePhase } from "../types/ChangePhase.js";
import type { ChangeRules } from "../types/ChangeRules.js";
import type { ChangeState } from "../types/ChangeState.js";
import { WritePhase } from "../types/WritePhase.js";

/** What a search found; it visits every state that can be reached. */
interface ChangeSearchResult {
    readonly states: number;
    /** A state in which a write was acknowledged that the old primary committed after the successor led. */
    readonly violation?: ChangeState;
}

const firstState: ChangeState = {
    phase: ChangePhase.Serving,
    isCut: false,
    hasLease: false,
    isFormerLease: false,
    hasHeard: false,
    hasConfirmed: false,
    hasSteppedDown: false,
    write: WritePhase.Waiting,
    isLate: false,
    isConfirmed: false,
};

/**
 * Searches every interleaving of a change of primary for a write that is acknowledged although the old primary
 * committed it after the successor led.
 *
 * @param rules The rules that are followed.
 * @returns How many states there are, and a violation if there is one.
 *
 * @example
 * searchPrimaryChange(rules).violation; // => undefined
 */
export function searchPrimaryChange(rules: ChangeRules): ChangeSearchResult {
    const visited = new Set([JSON.stringify(firstState)]);
    const waiting = [firstState];
    for (let state = waiting.pop(); state !== undefined; state = waiting.pop()) {
        if (state.write === WritePhase.Acknowledged && state.isLate) {
            return { states: visited.size, violation: state };
        }
        for (const next of listChangeSteps(state, rules)) {
            const key = JSON.stringify(next);
            if (!visited.has(key)) {
                visited.add(key);
                waiting.push(next);
            }
        }
    }
    return { states: visited.size };
}
