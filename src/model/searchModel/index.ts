import type { RandomSource } from "../../random/types/RandomSource.js";
import { createModelState } from "../createModelState/index.js";
import { findLostEntry } from "../findLostEntry/index.js";
import { listModelSteps } from "../listModelSteps/index.js";
import type { ModelRules } from "../types/ModelRules.js";
import type { ModelState } from "../types/ModelState.js";

/** Options of `searchModel`. */
interface SearchModelOptions {
    readonly endpoints: number;
    readonly terms: number;
    /** Number of visited states after which the search ends. */
    readonly stateLimit: number;
    /** Determines the order of the search; the same seed finds the same violation. */
    readonly random: RandomSource;
}

/** Result of a search. */
interface SearchResult {
    readonly states: number;
    /** Whether every reachable state was visited. */
    readonly isExhausted: boolean;
    /** A state in which an acknowledged entry is lost. */
    readonly violation?: ModelState;
}

/**
 * Searches the interleavings of the model for a state in which an acknowledged entry is lost.
 *
 * The search is depth-first with steps in random order, so that a bounded search also covers long runs.
 *
 * @param rules The rules to check.
 * @param options Size of the model, bound of the search and source of randomness.
 * @returns The number of visited states, and a violation if one was found.
 *
 * @example
 * const { violation } = searchModel(rules, { endpoints: 3, terms: 3, stateLimit: 100_000, random });
 */
export function searchModel(rules: ModelRules, options: SearchModelOptions): SearchResult {
    const initialState = createModelState(options.endpoints, options.terms);
    const visited = new Set([JSON.stringify(initialState)]);
    const pending: ModelState[] = [initialState];
    for (let state = pending.pop(); state !== undefined; state = pending.pop()) {
        if (findLostEntry(state) !== undefined) {
            return { states: visited.size, isExhausted: false, violation: state };
        }
        if (visited.size >= options.stateLimit) {
            return { states: visited.size, isExhausted: false };
        }
        for (const { state: next } of options.random.shuffle([...listModelSteps(state, rules)])) {
            const key = JSON.stringify(next);
            if (!visited.has(key)) {
                visited.add(key);
                pending.push(next);
            }
        }
    }
    return { states: visited.size, isExhausted: true };
}
