import type { Clock } from "../../clock/types/Clock.js";
import type { createUpdateQueue } from "../createUpdateQueue/index.js";
import { isNewerRecord } from "../isNewerRecord/index.js";
import type { MembershipUpdates } from "../types/MembershipUpdates.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";
import type { ZoneRecord } from "../types/ZoneRecord.js";

/** Options of `createPeerTable`. */
interface PeerTableOptions {
    readonly clock: Clock;
    /** Queue of accepted changes that are passed on to peers. */
    readonly queue: ReturnType<typeof createUpdateQueue>;
    /** Called after the state of another gateway changed. */
    readonly onTransition?: (record: PeerRecord) => void;
}

/**
 * Creates the table of known gateways, which initially contains only this one.
 *
 * @param initialSelf Record of this gateway.
 * @param options Clock and the queue of updates.
 * @returns The table.
 *
 * @example
 * table.applyUpdates({ peers: [record], zones: [] });
 */
export function createPeerTable(initialSelf: PeerRecord, options: PeerTableOptions): PeerTable {
    const { clock, queue } = options;
    const records = new Map<string, PeerRecord>([[initialSelf.name, initialSelf]]);
    const zones = new Map<string, ZoneRecord>();
    const deathTimes = new Map<string, number>();
    const listeners = new Set<() => void>();
    let self = initialSelf;
    let cachedReachable: readonly PeerRecord[] | undefined;

    function notify(): void {
        cachedReachable = undefined;
        for (const listener of [...listeners]) {
            listener();
        }
    }

    function store(record: PeerRecord): void {
        records.set(record.name, record);
        if (record.state === PeerState.Dead) {
            deathTimes.set(record.name, clock.now());
        }
        else {
            deathTimes.delete(record.name);
        }
        queue.addPeer(record);
    }

    function updateSelf(state: PeerState, incarnation: number): void {
        self = { ...self, state, incarnation };
        store(self);
    }

    /**
     * Refutes a differing record about this gateway with a higher incarnation: the record stems from before a restart,
     * is a suspicion or is forged. Returns whether the own record changed.
     */
    function refute(claim: PeerRecord): boolean {
        const isOwn = claim.state === self.state && claim.host === self.host && claim.port === self.port;
        if (claim.incarnation < self.incarnation || (claim.incarnation === self.incarnation && isOwn)) {
            return false;
        }
        updateSelf(self.state, claim.incarnation + 1);
        return true;
    }

    function applyPeer(update: PeerRecord): boolean {
        if (update.name === self.name) {
            return refute(update);
        }
        const known = records.get(update.name);
        const isUnknownAndDead = known === undefined && update.state === PeerState.Dead;
        if (isUnknownAndDead || (known !== undefined && !isNewerRecord(update, known))) {
            return false;
        }
        store(update);
        if (known?.state !== update.state) {
            options.onTransition?.(update);
        }
        return true;
    }

    function applyZone(update: ZoneRecord): boolean {
        const known = zones.get(update.availabilityZone);
        const isNewer = update.stamp > (known?.stamp ?? 0)
            || (update.stamp === known?.stamp && known.isLost && !update.isLost);
        if (!isNewer || update.availabilityZone === self.availabilityZone) {
            return false;
        }
        zones.set(update.availabilityZone, update);
        queue.addZone(update);
        return true;
    }

    function applyUpdates(updates: MembershipUpdates): void {
        const changes = [...updates.peers.map(applyPeer), ...updates.zones.map(applyZone)];
        if (changes.includes(true)) {
            notify();
        }
    }

    function setPeerState(record: PeerRecord, state: PeerState): void {
        applyUpdates({ peers: [{ ...record, state }], zones: [] });
    }

    function setOwnState(state: PeerState): void {
        updateSelf(state, self.incarnation + 1);
        notify();
    }

    function setZoneLost(availabilityZone: string, isLost: boolean): void {
        const known = zones.get(availabilityZone);
        if ((known?.isLost ?? false) !== isLost) {
            applyUpdates({ peers: [], zones: [{ availabilityZone, isLost, stamp: (known?.stamp ?? 0) + 1 }] });
        }
    }

    function listReachable(): readonly PeerRecord[] {
        cachedReachable ??= [...records.values()].filter(record =>
            record.state !== PeerState.Dead && zones.get(record.availabilityZone)?.isLost !== true
        );
        return cachedReachable;
    }

    function remove(name: string): void {
        if (name !== self.name && records.delete(name)) {
            deathTimes.delete(name);
            notify();
        }
    }

    function onChange(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    return {
        self: () => self,
        find: name => records.get(name),
        all: () => [...records.values()],
        reachable: listReachable,
        zone: availabilityZone => zones.get(availabilityZone),
        applyUpdates,
        setPeerState,
        setOwnState,
        setZoneLost,
        remove,
        diedAt: name => deathTimes.get(name),
        onChange,
    };
}
