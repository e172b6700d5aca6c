import type { RandomSource } from "../../random/types/RandomSource.js";
import type { PeerRecord } from "../types/PeerRecord.js";

/**
 * Yields the targets of probes without end, in passes: each pass yields every target once in random order.
 *
 * @param readTargets Returns the current targets.
 * @param random Source of the order.
 * @returns The next target, or undefined while there is none.
 *
 * @example
 * const targets = cycleProbeTargets(plan.localTargets, random);
 * const target = targets.next().value;
 */
export function* cycleProbeTargets(
    readTargets: () => readonly PeerRecord[],
    random: RandomSource,
): Generator<PeerRecord | undefined, never> {
    for (;;) {
        const pass = random.shuffle(readTargets());
        if (pass.length === 0) {
            yield undefined;
        }
        for (const planned of pass) {
            const current = readTargets().find(target => target.name === planned.name);
            if (current !== undefined) {
                yield current;
            }
        }
    }
}
