import type { SoakHistory } from "../../types/SoakHistory.js";

/**
 * Finds answers whose signature does not belong to an endpoint that ran the statement.
 *
 * @param history The history of a run.
 * @returns Yields a description of each such answer.
 *
 * @example
 * const foreign = [...findForeignAnswers(history)];
 */
export function* findForeignAnswers({ units, executedStatements }: SoakHistory): Generator<string> {
    const valid = new Set(executedStatements.map(({ id, endpointId }) => `${endpointId}.${id}`));
    for (const { signatures } of units) {
        for (const [id, signature] of Object.entries(signatures)) {
            if (!signature.endsWith(`.${id}`) || !valid.has(signature)) {
                yield `statement ${id} was answered with ${signature}`;
            }
        }
    }
}
