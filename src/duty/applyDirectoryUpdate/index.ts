import type { Directory } from "../../directory/types/Directory.js";
import type { DirectoryUpdate } from "../types/DirectoryUpdate.js";

/**
 * Applies the routes and endpoints that another VM sent to the directory. State that is not newer changes nothing.
 *
 * @param directory The directory of this VM.
 * @param update The state that the other VM sent.
 *
 * @example
 * applyDirectoryUpdate(directory, answer);
 */
export function applyDirectoryUpdate(directory: Directory, update: DirectoryUpdate): void {
    const { routingTable, endpoints, removals = [], endpointVersion } = update;
    if (routingTable !== undefined) {
        directory.applyRoutingTable(routingTable);
    }
    if (endpoints !== undefined) {
        directory.applyEndpoints({
            isSnapshot: false,
            // All that the sender knows is in the update.
            senderVersion: endpointVersion,
            changes: [
                ...endpoints.map(item => ({ name: item.id, era: item.era, revision: item.revision, item })),
                ...removals.map(({ id, era, revision }) => ({ name: id, era, revision, item: undefined })),
            ],
        });
    }
}
