import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";

/** The endpoints that every VM knows which may verify a primary without a lease. */
export interface SharedEndpoints {
    /** Brings the knowledge up to date; called regularly by the holder of the failover duty. */
    update(): void;
    /** Whether each of those VMs queries the endpoint when it verifies a primary of its group. */
    isKnownToAll(endpoint: Pick<EndpointRecord, "id">): boolean;
}
