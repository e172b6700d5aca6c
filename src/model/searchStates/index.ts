import type { LabelledStep } from "../types/LabelledStep.js";

/** A model whose states are to be searched. */
interface SearchedModel<State> {
    readonly initialState: State;
    /** Lists the steps that are possible in a state. */
    readonly listSteps: (state: State) => Iterable<LabelledStep<State>>;
    readonly isViolation: (state: State) => boolean;
}

/** Result of a search that visits every reachable state, or ends at the first violation. */
interface StateSearchResult {
    readonly states: number;
    /** Names of the steps of a shortest run that leads to a violation; undefined when no state is one. */
    readonly violation?: readonly string[];
}

/** How a state was reached first. */
interface Origin {
    readonly step: string;
    readonly previous: Origin | undefined;
}

/**
 * Searches all reachable states of a model, breadth first, for a violation.
 *
 * @param model The initial state, the steps and what a violation is. States must be plain data with the same order of
 * properties.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchStates({ initialState, listSteps, isViolation }).violation; // => undefined
 */
export function searchStates<State>(model: SearchedModel<State>): StateSearchResult {
    const visited = new Set([JSON.stringify(model.initialState)]);
    let pending: { readonly state: State; readonly origin: Origin | undefined; }[] = [
        { state: model.initialState, origin: undefined },
    ];
    while (pending.length > 0) {
        const reached: typeof pending = [];
        for (const { state, origin } of pending) {
            if (model.isViolation(state)) {
                return { states: visited.size, violation: listStepNames(origin) };
            }
            for (const { name, state: next } of model.listSteps(state)) {
                const key = JSON.stringify(next);
                if (!visited.has(key)) {
                    visited.add(key);
                    reached.push({ state: next, origin: { step: name, previous: origin } });
                }
            }
        }
        pending = reached;
    }
    return { states: visited.size };
}

function listStepNames(origin: Origin | undefined): readonly string[] {
    const names: string[] = [];
    for (let current = origin; current !== undefined; current = current.previous) {
        names.unshift(current.step);
    }
    return names;
}
