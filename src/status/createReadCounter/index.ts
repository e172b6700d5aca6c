import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { StatusProvider } from "../types/StatusProvider.js";

/** Counts the reads of an entry by the role of the endpoint that served them. */
interface ReadCounter {
    count(role: EndpointRole): void;
    readonly provide: StatusProvider;
}

/**
 * Creates the counter from which the share of reads served by replicas is computed.
 *
 * @returns The counter, with a status provider of its counts.
 *
 * @example
 * const reads = createReadCounter();
 * reads.count(EndpointRole.Replica);
 */
export function createReadCounter(): ReadCounter {
    let replicaReads = 0;
    let primaryReads = 0;

    function count(role: EndpointRole): void {
        if (role === EndpointRole.Replica) {
            replicaReads += 1;
        }
        else {
            primaryReads += 1;
        }
    }

    return { count, provide: () => ({ replicaReads, primaryReads }) };
}
