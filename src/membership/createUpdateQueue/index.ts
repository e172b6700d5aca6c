import { membershipConstants } from "../constants.js";
import type { MembershipUpdates } from "../types/MembershipUpdates.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import type { ZoneRecord } from "../types/ZoneRecord.js";

/** Updates that are sent with probes and their answers, each a limited number of times. */
interface UpdateQueue {
    addPeer(record: PeerRecord): void;
    addZone(record: ZoneRecord): void;
    /** Selects the updates for one message, the least sent first; a message between zones contains no zone records. */
    selectForMessage(isSameZone: boolean): MembershipUpdates;
}

/** Options of `createUpdateQueue`. */
interface UpdateQueueOptions {
    readonly fleetSize: () => number;
    readonly zoneCount: () => number;
}

/** One update with the number of messages that contained it. */
interface QueuedUpdate {
    readonly peer?: PeerRecord;
    readonly zone?: ZoneRecord;
    readonly bytes: number;
    /** Number of messages with the update within the zone, and to other zones. */
    localTransmissions: number;
    remoteTransmissions: number;
}

/**
 * Creates the queue of updates to pass on. Transmissions within the zone and to other zones are counted separately, so
 * that the many messages within the zone do not exhaust the limit of the few between zones.
 *
 * @param options Sizes of the fleet, from which the limits of transmissions are computed.
 * @returns The empty queue.
 *
 * @example
 * queue.addPeer({ ...record, state: PeerState.Suspected });
 * const updates = queue.selectForMessage(true);
 */
export function createUpdateQueue(options: UpdateQueueOptions): UpdateQueue {
    const queued = new Map<string, QueuedUpdate>();

    function add(key: string, update: Pick<QueuedUpdate, "peer" | "zone">): void {
        const bytes = JSON.stringify(update).length;
        queued.delete(key);
        queued.set(key, { ...update, bytes, localTransmissions: 0, remoteTransmissions: 0 });
        const [oldest] = queued.keys();
        if (queued.size > membershipConstants.maximumQueuedUpdates && oldest !== undefined) {
            queued.delete(oldest);
        }
    }

    function selectForMessage(isSameZone: boolean): MembershipUpdates {
        const counter = isSameZone ? "localTransmissions" : "remoteTransmissions";
        const limit = isSameZone
            ? membershipConstants.transmissionsPerFactorOfTen * Math.ceil(Math.log10(options.fleetSize() + 1))
            : membershipConstants.transmissionsPerZone * options.zoneCount();
        const candidates = [...queued.values()]
            .filter(update => update[counter] < limit && (isSameZone || update.zone === undefined))
            .sort((left, right) => left[counter] - right[counter]);
        const peers: PeerRecord[] = [];
        const zones: ZoneRecord[] = [];
        let bytesLeft: number = membershipConstants.maximumUpdateBytesPerMessage;
        for (const update of candidates) {
            bytesLeft -= update.bytes;
            if (bytesLeft < 0) {
                break;
            }
            update[counter] += 1;
            peers.push(...update.peer === undefined ? [] : [update.peer]);
            zones.push(...update.zone === undefined ? [] : [update.zone]);
        }
        return { peers, zones };
    }

    return {
        addPeer: record => add(`peer/${record.name}`, { peer: record }),
        addZone: record => add(`zone/${record.availabilityZone}`, { zone: record }),
        selectForMessage,
    };
}
