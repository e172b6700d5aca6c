import type { SoakHistory } from "../../types/SoakHistory.js";

/**
 * Finds statements that endpoints ran and no caller sent.
 *
 * @param history The history of a run.
 * @returns Yields the statements.
 *
 * @example
 * const unasked = [...findUnaskedStatements(history)];
 */
export function* findUnaskedStatements({ units, executed }: SoakHistory): Generator<string> {
    const sent = new Set(units.flatMap(({ ids }) => ids));
    for (const { id, endpointId } of executed) {
        if (!sent.has(id)) {
            yield `statement ${id} at ${endpointId}`;
        }
    }
}
