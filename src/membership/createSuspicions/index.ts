import type { Clock } from "../../clock/types/Clock.js";
import { membershipConstants } from "../constants.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";

/** What suspicions work with. */
interface SuspicionsOptions {
    readonly table: PeerTable;
    readonly clock: Clock;
    /** Number of gateways in the zone of a suspect. */
    readonly zoneSize: (availabilityZone: string) => number;
    readonly signal: AbortSignal;
}

/** Suspected gateways on their way to being refuted or dead. */
interface Suspicions {
    /** Suspects a gateway that did not answer. */
    suspect(record: PeerRecord): void;
}

/**
 * Creates the watch over suspected gateways: whoever does not refute a suspicion in time is dead.
 *
 * @param options Table, clock, zone sizes and the signal that ends it.
 * @returns The watch; it also follows suspicions that other gateways raised.
 *
 * @example
 * suspicions.suspect(record);
 */
export function createSuspicions(options: SuspicionsOptions): Suspicions {
    const { table, clock, signal } = options;
    const waiting = new Set<string>();

    function waitMilliseconds(record: PeerRecord): number {
        const { probeIntervalMilliseconds, suspicionIntervals } = membershipConstants;
        const scale = Math.max(1, Math.log10(options.zoneSize(record.availabilityZone)));
        return probeIntervalMilliseconds * suspicionIntervals * scale;
    }

    /** A process that was itself paused wakes with its timers overdue; it listens once more before it judges. */
    async function sleepAwake(milliseconds: number): Promise<void> {
        for (let isPunctual = false; !isPunctual && !signal.aborted;) {
            const startedAt = clock.now();
            await clock.sleep(milliseconds, signal);
            isPunctual = clock.now() - startedAt < milliseconds + membershipConstants.probeIntervalMilliseconds;
        }
    }

    async function awaitRefutation(record: PeerRecord): Promise<void> {
        const key = `${record.name}/${record.incarnation}`;
        if (waiting.has(key)) {
            return;
        }
        waiting.add(key);
        await sleepAwake(waitMilliseconds(record));
        waiting.delete(key);
        const current = table.find(record.name);
        const isStanding = current?.incarnation === record.incarnation && current.state === record.state;
        if (isStanding && !signal.aborted && table.zone(record.availabilityZone)?.isLost !== true) {
            table.mark(current, PeerState.Dead);
        }
    }

    function suspect(record: PeerRecord): void {
        table.mark(record, PeerState.Suspected);
        const current = table.find(record.name);
        if (current?.incarnation === record.incarnation && current.state !== PeerState.Dead) {
            void awaitRefutation(current);
        }
    }

    table.onChange(() => {
        for (const record of table.all()) {
            if (record.state === PeerState.Suspected) {
                void awaitRefutation(record);
            }
        }
    });

    return { suspect };
}
