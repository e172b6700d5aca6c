import type { Clock } from "../../clock/types/Clock.js";
import { createDirectory } from "../../directory/createDirectory/index.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createRoute } from "../createRoute/index.js";

const connectionLimit = 21;
const idleTransactionMilliseconds = 3_000;

/**
 * Creates a directory for tests that contains endpoints of the group `orders` and one route.
 *
 * @param clock Source of time.
 * @param records The endpoints.
 * @param synchronousReplicas Number of synchronous replicas of the group.
 * @returns The directory.
 *
 * @example
 * const directory = createPopulatedDirectory(clock, [createEndpointRecord({ isPrimary: true })]);
 */
export function createPopulatedDirectory(
    clock: Clock,
    records: readonly EndpointRecord[],
    synchronousReplicas = 0,
): Directory {
    const directory = createDirectory(clock, () => {});
    directory.applyRoutingTable({
        version: 1,
        routes: [createRoute()],
        groups: [{ group: "orders", connectionLimit, synchronousReplicas }],
        idleTransactionMilliseconds,
    });
    directory.applyEndpoints({
        isSnapshot: true,
        changes: records.map(item => ({ name: item.id, era: item.era, revision: item.revision, item })),
    });
    return directory;
}
