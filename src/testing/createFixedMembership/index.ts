import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";

/** A membership that a test changes by hand. */
interface FixedMembership extends MembershipService {
    change(peers: readonly PeerRecord[]): void;
}

/**
 * Creates a membership for tests, with the peers that the test names.
 *
 * @param self The own record.
 * @param peers All known gateways.
 * @returns The membership.
 *
 * @example
 * const membership = createFixedMembership(records[0], records);
 */
export function createFixedMembership(self: PeerRecord, peers: readonly PeerRecord[]): FixedMembership {
    let current = peers;
    const listeners = new Set<() => void>();
    const nothing = async (): Promise<void> => {};

    function change(changed: readonly PeerRecord[]): void {
        current = changed;
        for (const listener of listeners) {
            listener();
        }
    }

    function onChange(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    return { self, peers: () => current, onChange, change, leave: nothing, start: nothing, stop: nothing };
}
