import { workspaceConstants } from "../../../workspaces/constants.js";
import type { SoakHistory } from "../../types/SoakHistory.js";

/**
 * Finds statements that ran on a connection which was opened for another workspace than the one of their caller.
 *
 * @param history The history of a run, with the workspace of each caller's session.
 * @returns Yields a description of each such statement.
 *
 * @example
 * const foreign = [...findForeignOwners(history)];
 */
export function* findForeignOwners({ units, executedStatements }: SoakHistory): Generator<string> {
    const owners = new Map(
        units.flatMap(({ ids, workspace = workspaceConstants.anonymousOwner }) =>
            ids.map(id => [id, workspace] as const)
        ),
    );
    for (const { id, endpointId, owner } of executedStatements) {
        const expected = owners.get(id);
        if (expected !== undefined && owner !== expected) {
            yield `statement ${id} of ${expected} ran at ${endpointId} on a connection of ${owner}`;
        }
    }
}
