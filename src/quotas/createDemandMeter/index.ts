import type { Clock } from "../../clock/types/Clock.js";
import { quotaConstants } from "../constants.js";

/** Measures how many operations are asked for. */
interface DemandMeter {
    /** Counts an operation, whether or not it is admitted. */
    count(): void;
    /** Time since an operation was counted last, in milliseconds. */
    idleMilliseconds(): number;
    /** Returns the operations per second, smoothed over the readings so far. */
    read(): number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates a meter of the demand for one workspace.
 *
 * @param clock Source of time.
 * @returns The meter; nothing was counted yet.
 *
 * @example
 * meter.count();
 * const operationsPerSecond = meter.read();
 */
export function createDemandMeter(clock: Pick<Clock, "now">): DemandMeter {
    const { minimumMeasureMilliseconds, smoothingMilliseconds } = quotaConstants;
    let counted = 0;
    let countedAt = clock.now();
    let readAt = countedAt;
    let smoothed = 0;

    function read(): number {
        const elapsed = clock.now() - readAt;
        if (elapsed < minimumMeasureMilliseconds) {
            return smoothed;
        }
        const current = counted * millisecondsPerSecond / elapsed;
        smoothed += (current - smoothed) * (1 - Math.exp(-elapsed / smoothingMilliseconds));
        counted = 0;
        readAt = clock.now();
        return smoothed;
    }

    return {
        count: () => {
            counted += 1;
            countedAt = clock.now();
        },
        idleMilliseconds: () => clock.now() - countedAt,
        read,
    };
}
