import type { SoakHistory } from "../../types/SoakHistory.js";

/**
 * Finds statements that an endpoint ran although no caller sent them.
 *
 * @param history The history of a run.
 * @returns Yields a description of each such statement.
 *
 * @example
 * const unrequested = [...findUnrequestedStatements(history)];
 */
export function* findUnrequestedStatements({ units, executedStatements }: SoakHistory): Generator<string> {
    const sent = new Set(units.flatMap(({ ids }) => ids));
    for (const { id, endpointId } of executedStatements) {
        if (!sent.has(id)) {
            yield `statement ${id} at ${endpointId}`;
        }
    }
}
