import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { RecordRemoval } from "../../directory/types/RecordRemoval.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";

/** What another VM told of the world. */
interface Knowledge {
    readonly routingTable?: RoutingTable;
    readonly endpoints?: readonly EndpointRecord[];
    readonly removals?: readonly RecordRemoval[];
}

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
            isWhole: false,
            changes: [
                ...endpoints.map(item => ({ name: item.id, revision: item.revision, item })),
                ...removals.map(({ id, revision }) => ({ name: id, revision, item: undefined })),
            ],
        });
    }
}
