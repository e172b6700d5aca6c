import type { Directory } from "../../directory/types/Directory.js";
import type { Knowledge } from "../types/Knowledge.js";

/**
 * Applies the routes and endpoints that another VM sent to the directory. State that is not newer changes nothing.
 *
 * @param directory The directory of this VM.
 * @param update The state that the other VM sent.
 *
 * @example
 * exchangeKnowledge(directory, answer);
 */
export function exchangeKnowledge(directory: Directory, update: Knowledge): void {
    const { routingTable, endpoints, removals = [] } = update;
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
