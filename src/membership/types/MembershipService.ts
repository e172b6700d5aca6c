import type { PeerRecord } from "./PeerRecord.js";

/**
 * The gateways known to this process and their states. Other services use them to choose which gateway attempts an
 * action, never as permission for it.
 */
export interface MembershipService {
    readonly self: PeerRecord;
    /** All known gateways that are not dead and whose zone is not lost, including this one. */
    peers(): readonly PeerRecord[];
    onChange(listener: () => void): () => void;
    /** Marks this gateway as leaving and notifies its peers. */
    leave(): Promise<void>;
    start(): Promise<void>;
    stop(): Promise<void>;
}
