import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { FinalState } from "../types/FinalState.js";
import type { IndexedHistory } from "../types/IndexedHistory.js";
import { OperationKind } from "../types/OperationKind.js";
import type { Violation } from "../types/Violation.js";
import { ViolationKind } from "../types/ViolationKind.js";

/**
 * Checks each final state against the writes of the history.
 *
 * Every acknowledged write must be in its lists exactly once, and a write that did not run in none. A pair must hold
 * both halves of a write or neither, and all sources must agree.
 *
 * @param history The indexed history.
 * @returns Yields the violations found.
 *
 * @example
 * const violations = [...checkFinalState(indexed)];
 */
export function* checkFinalState(history: IndexedHistory): Generator<Violation> {
    for (const state of history.allFinalStates) {
        yield* checkWrites(history, state);
        yield* checkValues(history, state);
        yield* compareSources(history, state);
    }
}

function* checkWrites(history: IndexedHistory, state: FinalState): Generator<Violation> {
    const present = new Map([...state.lists].map(([list, values]) => [list, new Set(values)]));
    for (const operation of history.operations) {
        if (operation.value === undefined || operation.database !== state.database) {
            continue;
        }
        const { value } = operation;
        const listsWithValue = operation.lists.filter(list => present.get(list)?.has(value) === true);
        if (operation.outcome === OutcomeKind.Answer && listsWithValue.length < operation.lists.length) {
            const text = `Acknowledged ${value} is missing from ${state.source}.`;
            yield { kind: ViolationKind.LostWrite, text, operation };
        }
        if (operation.outcome === OutcomeKind.NotRun && listsWithValue.length > 0) {
            const text = `${value} was answered as not run (${operation.reason}) but stands in ${state.source}.`;
            yield { kind: ViolationKind.NotRunTookEffect, text, operation };
        }
        if (operation.kind === OperationKind.AppendPair && listsWithValue.length === 1) {
            const text = `Only ${listsWithValue[0]} holds ${value} in ${state.source}.`;
            yield { kind: ViolationKind.PartialTransaction, text, operation };
        }
    }
}

function* checkValues(history: IndexedHistory, state: FinalState): Generator<Violation> {
    for (const [list, values] of state.lists) {
        const seen = new Set<string>();
        for (const value of values) {
            const operation = history.writesByValue.get(`${state.database}/${value}`);
            if (seen.has(value)) {
                const text = `${value} stands twice in ${list} of ${state.source}.`;
                yield { kind: ViolationKind.DoubledWrite, text, operation };
            }
            seen.add(value);
            if (operation === undefined) {
                const text = `${value} in ${list} of ${state.source} was never written.`;
                yield { kind: ViolationKind.ReadFromFuture, text };
            }
            else if (!operation.lists.includes(list)) {
                const text = `${value} stands in ${list} of ${state.source}, which its request did not name.`;
                yield { kind: ViolationKind.MixedTransaction, text, operation };
            }
        }
    }
}

function* compareSources(history: IndexedHistory, state: FinalState): Generator<Violation> {
    const reference = history.referenceStates.get(state.database);
    if (reference === undefined || reference === state) {
        return;
    }
    const lists = new Set([...reference.lists.keys(), ...state.lists.keys()]);
    for (const list of lists) {
        if ((reference.lists.get(list) ?? []).join("\n") !== (state.lists.get(list) ?? []).join("\n")) {
            const text = `List ${list} differs between ${reference.source} and ${state.source}.`;
            yield { kind: ViolationKind.DivergedState, text };
        }
    }
}
