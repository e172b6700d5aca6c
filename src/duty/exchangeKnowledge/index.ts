import type { Directory } from "../../directory/types/Directory.js";
import type { Knowledge } from "../types/Knowledge.js";

/**
 * Takes what another VM told into the directory; whatever is not newer changes nothing.
 *
 * @param directory What this VM knows.
 * @param knowledge What the other VM told.
 *
 * @example
 * exchangeKnowledge(directory, answer);
 */
export function exchangeKnowledge(directory: Directory, knowledge: Knowledge): void {
    const { routingTable, endpoints, removals = [] } = knowledge;
    if (routingTable !== undefined) {
        directory.applyRoutingTable(routingTable);
    }
    if (endpoints !== undefined) {
        directory.applyEndpoints({
            isSnapshot: false,
            changes: [
                ...endpoints.map(item => ({ name: item.id, revision: item.revision, item })),
                ...removals.map(({ id, revision }) => ({ name: id, revision, item: undefined })),
            ],
        });
    }
}
