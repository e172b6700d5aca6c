import { membershipConstants } from "../constants.js";
import type { MembershipUpdates } from "../types/MembershipUpdates.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import type { ZoneRecord } from "../types/ZoneRecord.js";

/** Updates that ride on messages, each a limited number of times. */
interface UpdateQueue {
    addPeer(record: PeerRecord): void;
    addZone(record: ZoneRecord): void;
    /** Takes what fits into one message, the least sent first. */
    take(fleetSize: number, isSameZone: boolean): MembershipUpdates;
}

/** One update with the number of messages that carried it. */
interface QueuedUpdate {
    readonly peer?: PeerRecord;
    readonly zone?: ZoneRecord;
    readonly bytes: number;
    transmissions: number;
}

/**
 * Creates the queue of updates to pass on.
 *
 * @returns The queue, empty.
 *
 * @example
 * queue.addPeer({ ...record, state: PeerState.Suspected });
 * const updates = queue.take(8, true);
 */
export function createUpdateQueue(): UpdateQueue {
    const queued = new Map<string, QueuedUpdate>();

    function add(key: string, update: Pick<QueuedUpdate, "peer" | "zone">): void {
        const bytes = JSON.stringify(update).length;
        queued.delete(key);
        queued.set(key, { ...update, bytes, transmissions: 0 });
    }

    function take(fleetSize: number, isSameZone: boolean): MembershipUpdates {
        const limit = membershipConstants.transmissionsPerTenfold * Math.ceil(Math.log10(fleetSize + 1));
        const sorted = [...queued].sort(([, left], [, right]) => left.transmissions - right.transmissions);
        const peers: PeerRecord[] = [];
        const zones: ZoneRecord[] = [];
        let bytesLeft: number = membershipConstants.updateBytesPerMessage;
        for (const [key, update] of sorted) {
            if (update.bytes > bytesLeft) {
                break;
            }
            if (update.zone !== undefined && !isSameZone) {
                continue;
            }
            bytesLeft -= update.bytes;
            update.transmissions += 1;
            peers.push(...update.peer === undefined ? [] : [update.peer]);
            zones.push(...update.zone === undefined ? [] : [update.zone]);
            if (update.transmissions >= limit) {
                queued.delete(key);
            }
        }
        return { peers, zones };
    }

    return {
        addPeer: record => add(`peer/${record.name}`, { peer: record }),
        addZone: record => add(`zone/${record.availabilityZone}`, { zone: record }),
        take,
    };
}
