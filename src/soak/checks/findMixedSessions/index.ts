import type { SoakHistory } from "../../types/SoakHistory.js";

/** The value that each session sets to its own name. */
const sessionValue = "session";

/**
 * Finds statements that ran with other values than their session had set.
 *
 * @param history The history of a run; every session sets a value to its own name first.
 * @returns Yields the statements.
 *
 * @example
 * const mixed = [...findMixedSessions(history)];
 */
export function* findMixedSessions({ units, executed }: SoakHistory): Generator<string> {
    const sessions = new Map(units.flatMap(({ ids, session }) => ids.map(id => [id, session] as const)));
    for (const { id, endpointId, values } of executed) {
        if (values[sessionValue] !== sessions.get(id)) {
            yield `statement ${id} of session ${sessions.get(id)} ran at ${endpointId} as ${values[sessionValue]}`;
        }
    }
}
