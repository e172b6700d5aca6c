import type { Clock } from "../../clock/types/Clock.js";
import { membershipConstants } from "../constants.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";

/** Options of `createSuspicions`. */
interface SuspicionsOptions {
    readonly table: PeerTable;
    readonly clock: Clock;
    /** Number of gateways in the zone of a suspected gateway. */
    readonly zoneSize: (availabilityZone: string) => number;
    readonly signal: AbortSignal;
}

/** Pending suspicions, each of which is refuted or expires. */
interface Suspicions {
    /** Suspects a gateway that did not answer. */
    suspect(record: PeerRecord): void;
}

/**
 * Creates the timeouts of suspicions: a gateway that does not refute a suspicion in time is marked as dead.
 *
 * @param options Table, clock, zone sizes and signal that cancels the timeouts.
 * @returns The suspicions, including those that other gateways raised.
 *
 * @example
 * suspicions.suspect(record);
 */
export function createSuspicions(options: SuspicionsOptions): Suspicions {
    const { table, clock, signal } = options;
    const pending = new Set<string>();

    function computeTimeoutMilliseconds(record: PeerRecord): number {
        const { probeIntervalMilliseconds, suspicionIntervals } = membershipConstants;
        const scale = Math.max(1, Math.log10(options.zoneSize(record.availabilityZone)));
        return probeIntervalMilliseconds * suspicionIntervals * scale;
    }

    /** Sleeps again if the timer was late: after a pause of this process, a refutation may still be unprocessed. */
    async function sleepWithoutPause(milliseconds: number): Promise<void> {
        for (let isPunctual = false; !isPunctual && !signal.aborted;) {
            const startedAt = clock.now();
            await clock.sleep(milliseconds, signal);
            isPunctual = clock.now() - startedAt < milliseconds + membershipConstants.probeIntervalMilliseconds;
        }
    }

    async function runSuspicionTimeout(record: PeerRecord): Promise<void> {
        const key = `${record.name}/${record.incarnation}`;
        if (pending.has(key)) {
            return;
        }
        pending.add(key);
        await sleepWithoutPause(computeTimeoutMilliseconds(record));
        pending.delete(key);
        const current = table.find(record.name);
        const isUnchanged = current?.incarnation === record.incarnation && current.state === record.state;
        if (isUnchanged && !signal.aborted && table.zone(record.availabilityZone)?.isLost !== true) {
            table.setPeerState(current, PeerState.Dead);
        }
    }

    function suspect(record: PeerRecord): void {
        table.setPeerState(record, PeerState.Suspected);
        const current = table.find(record.name);
        if (current?.incarnation === record.incarnation && current.state !== PeerState.Dead) {
            void runSuspicionTimeout(current);
        }
    }

    table.onChange(() => {
        for (const record of table.all()) {
            if (record.state === PeerState.Suspected) {
                void runSuspicionTimeout(record);
            }
        }
    });

    return { suspect };
}
