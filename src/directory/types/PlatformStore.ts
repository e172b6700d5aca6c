import type { EndpointRecord } from "./EndpointRecord.js";
import type { Feed } from "./Feed.js";
import type { RecordStore } from "./RecordStore.js";
import type { RoutingTable } from "./RoutingTable.js";

/** The platform's store, as far as the product uses it. */
export interface PlatformStore {
    readonly endpoints: Feed<EndpointRecord>;
    readonly routingTables: Feed<RoutingTable>;
    readonly records: RecordStore;
    stop(): Promise<void>;
}
