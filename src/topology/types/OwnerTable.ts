import type { PeerRecord } from "../../membership/types/PeerRecord.js";

/** Caches the owners of each endpoint until the peers or the configuration change. */
export interface OwnerTable {
    /** The gateways that may hold connections to the endpoint, best first. */
    ownersOf(endpoint: string): readonly PeerRecord[];
    /** Clears the cache; must be called after the peers changed. */
    clear(): void;
}
