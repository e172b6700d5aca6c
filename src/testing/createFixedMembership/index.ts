import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";

/** A membership whose peers a test sets. */
interface FixedMembership extends MembershipService {
    setPeers(peers: readonly PeerRecord[]): void;
}

/**
 * Creates a membership for tests that contains the given peers.
 *
 * @param self The record of this gateway.
 * @param peers All known gateways.
 * @returns The membership.
 *
 * @example
 * const membership = createFixedMembership(records[0], records);
 */
export function createFixedMembership(self: PeerRecord, peers: readonly PeerRecord[]): FixedMembership {
    let current = peers;
    const listeners = new Set<() => void>();
    const doNothing = async (): Promise<void> => {};

    function setPeers(changed: readonly PeerRecord[]): void {
        current = changed;
        for (const listener of listeners) {
            listener();
        }
    }

    function onChange(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    return {
        self,
        peers: () => current,
        onChange,
        setPeers,
        leave: doNothing,
        start: doNothing,
        stop: doNothing,
    };
}
