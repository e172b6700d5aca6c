import type { PeerRecord } from "../../membership/types/PeerRecord.js";

/** Remembers who owns each endpoint until the peers or the configuration change. */
export interface OwnerTable {
    /** The gateways that may hold connections to the endpoint, best first. */
    ownersOf(endpoint: string): readonly PeerRecord[];
    /** Drops everything remembered; to be called after the peers changed. */
    forget(): void;
}
