import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { ModelState } from "../types/ModelState.js";

/**
 * Creates the initial state of the model: empty endpoints, and no attempt started.
 *
 * @param endpoints Number of endpoints.
 * @param terms Number of terms, each with one attempt.
 * @returns The state.
 *
 * @example
 * const state = createModelState(3, 3);
 */
export function createModelState(endpoints: number, terms: number): ModelState {
    const reported = Array.from({ length: endpoints }, () => 0);
    return {
        endpoints: Array.from({ length: endpoints }, () => ({
            role: EndpointRole.Detached,
            term: 0,
            fencedTerm: 0,
            followedTerm: 0,
            isSynchronized: false,
            startLength: 0,
            log: [],
        })),
        attempts: Array.from({ length: terms }, () => ({ answers: [], reported })),
        acknowledged: [],
    };
}
