import type { SoakHistory } from "../../types/SoakHistory.js";

/** The session variable that each session sets to its own name. */
const sessionVariable = "session";

/**
 * Finds statements that ran with other session variables than their session had set.
 *
 * @param history The history of a run; every session first sets a session variable to its own name.
 * @returns Yields a description of each such statement.
 *
 * @example
 * const wrong = [...findWrongSessionVariables(history)];
 */
export function* findWrongSessionVariables({ units, executedStatements }: SoakHistory): Generator<string> {
    const sessions = new Map(units.flatMap(({ ids, session }) => ids.map(id => [id, session] as const)));
    for (const { id, endpointId, values } of executedStatements) {
        if (values[sessionVariable] !== sessions.get(id)) {
            yield `statement ${id} of session ${sessions.get(id)} ran at ${endpointId} as ${values[sessionVariable]}`;
        }
    }
}
