import type { RandomSource } from "../../random/types/RandomSource.js";
import { soakConstants } from "../constants.js";
import { faultScopes } from "../faultScopes.js";
import type { Fault } from "../types/Fault.js";
import { FaultKind } from "../types/FaultKind.js";
import { FaultScope } from "../types/FaultScope.js";

const allKinds = Object.values(FaultKind);
const plannedKinds = allKinds.filter(kind => faultScopes[kind] === FaultScope.Planned);
/** One draw in this many gives a series of faults of the same kind. */
const drawsPerSeries = 4;
const seriesLength = 3;
const targetRange = 1_000;

/**
 * Draws the faults of a run: all kinds or only planned work, overlapping, some as a series of the same kind.
 *
 * @param random Source of randomness.
 * @param limitMilliseconds Length of the interval in which faults start, in milliseconds.
 * @param isPlannedOnly Whether to draw only planned work.
 * @returns Yields the faults in the order of their start.
 *
 * @example
 * for (const fault of planFaults(createRandomSource(seed), 60_000)) { schedule(fault); }
 */
export function* planFaults(
    random: RandomSource,
    limitMilliseconds: number,
    isPlannedOnly = false,
): Generator<Fault> {
    const {
        meanFaultIntervalMilliseconds,
        minimumFaultMilliseconds,
        maximumFaultMilliseconds,
    } = soakConstants;
    const kinds = isPlannedOnly ? plannedKinds : allKinds;
    let atMilliseconds = 0;
    for (;;) {
        const kind = kinds[random.nextInteger(kinds.length)]!;
        const length = random.nextInteger(drawsPerSeries) === 0 ? seriesLength : 1;
        for (let index = 0; index < length; index += 1) {
            atMilliseconds += 2 * meanFaultIntervalMilliseconds * random.next() / length;
            if (atMilliseconds >= limitMilliseconds) {
                return;
            }
            const range = maximumFaultMilliseconds - minimumFaultMilliseconds;
            yield {
                kind,
                atMilliseconds,
                durationMilliseconds: minimumFaultMilliseconds + range * random.next() ** 2,
                target: random.nextInteger(targetRange),
            };
        }
    }
}
