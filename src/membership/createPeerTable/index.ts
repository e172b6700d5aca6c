import type { Clock } from "../../clock/types/Clock.js";
import type { createUpdateQueue } from "../createUpdateQueue/index.js";
import { supersedes } from "../supersedes/index.js";
import type { MembershipUpdates } from "../types/MembershipUpdates.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";
import type { ZoneRecord } from "../types/ZoneRecord.js";

/** What the table works with. */
interface PeerTableOptions {
    readonly clock: Clock;
    /** Where accepted changes are queued to be passed on. */
    readonly queue: ReturnType<typeof createUpdateQueue>;
    /** Called after the state of another gateway changed. */
    readonly onTransition?: (record: PeerRecord) => void;
}

/**
 * Creates the table of gateways, which knows only this process.
 *
 * @param initialSelf The own record.
 * @param options Clock and the queue of updates.
 * @returns The table.
 *
 * @example
 * table.learn({ peers: [record], zones: [] });
 */
export function createPeerTable(initialSelf: PeerRecord, options: PeerTableOptions): PeerTable {
    const { clock, queue } = options;
    const records = new Map<string, PeerRecord>([[initialSelf.name, initialSelf]]);
    const zones = new Map<string, ZoneRecord>();
    const deathTimes = new Map<string, number>();
    const listeners = new Set<() => void>();
    let self = initialSelf;
    let reachable: readonly PeerRecord[] | undefined;

    function notify(): void {
        reachable = undefined;
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

    function setSelf(state: PeerState, incarnation: number): void {
        self = { ...self, state, incarnation };
        store(self);
    }

    /** A record about this process by anyone else is an old life's, a suspicion or forged: it is outbid. */
    function refute(claim: PeerRecord): boolean {
        const isOwn = claim.state === self.state && claim.host === self.host && claim.port === self.port;
        if (claim.incarnation < self.incarnation || (claim.incarnation === self.incarnation && isOwn)) {
            return false;
        }
        setSelf(self.state, claim.incarnation + 1);
        return true;
    }

    function learnPeer(update: PeerRecord): boolean {
        if (update.name === self.name) {
            return refute(update);
        }
        const known = records.get(update.name);
        const isUnknownDeath = known === undefined && update.state === PeerState.Dead;
        if (isUnknownDeath || (known !== undefined && !supersedes(update, known))) {
            return false;
        }
        store(update);
        if (known?.state !== update.state) {
            options.onTransition?.(update);
        }
        return true;
    }

    function learnZone(update: ZoneRecord): boolean {
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

    function learn(updates: MembershipUpdates): void {
        const changes = [...updates.peers.map(learnPeer), ...updates.zones.map(learnZone)];
        if (changes.includes(true)) {
            notify();
        }
    }

    function mark(record: PeerRecord, state: PeerState): void {
        learn({ peers: [{ ...record, state }], zones: [] });
    }

    function announceSelf(state: PeerState): void {
        setSelf(state, self.incarnation + 1);
        notify();
    }

    function markZone(availabilityZone: string, isLost: boolean): void {
        const known = zones.get(availabilityZone);
        if ((known?.isLost ?? false) !== isLost) {
            learn({ peers: [], zones: [{ availabilityZone, isLost, stamp: (known?.stamp ?? 0) + 1 }] });
        }
    }

    function listReachable(): readonly PeerRecord[] {
        reachable ??= [...records.values()].filter(record =>
            record.state !== PeerState.Dead && zones.get(record.availabilityZone)?.isLost !== true
        );
        return reachable;
    }

    function forget(name: string): void {
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
        learn,
        mark,
        announceSelf,
        markZone,
        forget,
        diedAt: name => deathTimes.get(name),
        onChange,
    };
}
