import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";

/** A topology whose groups, owners and leaving endpoints a test sets. */
interface FixedTopology extends TopologyService {
    setOwners(owners: readonly PeerRecord[]): void;
    setLeaving(endpoint: string): void;
}

/**
 * Creates a topology for tests, in which the same gateways own every endpoint.
 *
 * @param owners The owners, in order of preference.
 * @returns The topology, without any group.
 *
 * @example
 * const topology = createFixedTopology([self]);
 * topology.applyGroupRecord({ database: "stock", term: 1, primary: "stock-1", markerPosition: 1 });
 */
export function createFixedTopology(owners: readonly PeerRecord[]): FixedTopology {
    const groups = new Map<string, GroupRecord>();
    const leaving = new Set<string>();
    const listeners = new Set<(database: string) => void>();
    let currentOwners = owners;

    function learn(record: GroupRecord): boolean {
        const isNew = record.term > (groups.get(record.database)?.term ?? 0);
        if (isNew) {
            groups.set(record.database, record);
            listeners.forEach(listener => listener(record.database));
        }
        return isNew;
    }

    function onChange(listener: (database: string) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    return {
        groupOf: database => groups.get(database),
        ownersOf: () => currentOwners,
        isLeaving: endpoint => leaving.has(endpoint),
        applyGroupRecord: learn,
        waitForTerm: async database => groups.get(database),
        onChange,
        setOwners: changed => {
            currentOwners = changed;
        },
        setLeaving: endpoint => void leaving.add(endpoint),
    };
}
