import { routingConstants } from "../constants.js";

/** Times at which positions of one database were first known to be committed. */
interface PositionHistory {
    record(position: number, now: number): void;
    /** Highest position recorded; 0 when there is none. */
    latest(): number;
    /** Time when a position at or above the given one was first recorded; undefined when none was. */
    firstRecordedAt(position: number): number | undefined;
}

/**
 * Creates a bounded history of committed positions of one database.
 *
 * @returns An empty history.
 *
 * @example
 * const history = createPositionHistory();
 * history.record(90, clock.now());
 */
export function createPositionHistory(): PositionHistory {
    const positions: number[] = [];
    const times: number[] = [];

    function record(position: number, now: number): void {
        if (position <= (positions.at(-1) ?? -1)) {
            return;
        }
        positions.push(position);
        times.push(now);
        if (positions.length > routingConstants.maximumTrackedPositions) {
            positions.shift();
            times.shift();
        }
    }

    function firstRecordedAt(position: number): number | undefined {
        let low = 0;
        let high = positions.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((positions[middle] as number) < position) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return times[low];
    }

    return { record, latest: () => positions.at(-1) ?? 0, firstRecordedAt };
}
