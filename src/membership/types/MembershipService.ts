import type { PeerRecord } from "./PeerRecord.js";

/** Who lives, as far as this process knows. It decides who tries, never who may. */
export interface MembershipService {
    readonly self: PeerRecord;
    /** All known gateways that are not dead, itself included. */
    peers(): readonly PeerRecord[];
    onChange(listener: () => void): () => void;
    /** Marks itself as leaving and tells its peers. */
    leave(): Promise<void>;
    start(): Promise<void>;
    stop(): Promise<void>;
}
