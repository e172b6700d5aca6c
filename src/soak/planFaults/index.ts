import type { RandomSource } from "../../random/types/RandomSource.js";
import { soakConstants } from "../constants.js";
import type { Fault } from "../types/Fault.js";
import { FaultKind } from "../types/FaultKind.js";

const kinds = Object.values(FaultKind);
/** One in so many faults comes as a series of the same kind. */
const seriesShare = 4;
const seriesLength = 3;
const targets = 1_000;

/**
 * Draws the faults of a run: of all kinds, overlapping, some in series of the same kind.
 *
 * @param random Source of randomness.
 * @param milliseconds Time in which faults begin.
 * @returns Yields the faults in the order of their beginnings.
 *
 * @example
 * for (const fault of planFaults(createRandomSource(seed), 60_000)) { schedule(fault); }
 */
export function* planFaults(random: RandomSource, milliseconds: number): Generator<Fault> {
    const { faultPauseMilliseconds, shortestFaultMilliseconds, longestFaultMilliseconds } = soakConstants;
    let atMilliseconds = 0;
    for (;;) {
        const kind = kinds[random.nextInteger(kinds.length)]!;
        const length = random.nextInteger(seriesShare) === 0 ? seriesLength : 1;
        for (let turn = 0; turn < length; turn += 1) {
            atMilliseconds += 2 * faultPauseMilliseconds * random.next() / length;
            if (atMilliseconds >= milliseconds) {
                return;
            }
            const range = longestFaultMilliseconds - shortestFaultMilliseconds;
            yield {
                kind,
                atMilliseconds,
                durationMilliseconds: shortestFaultMilliseconds + range * random.next() ** 2,
                target: random.nextInteger(targets),
            };
        }
    }
}
