import type { RandomSource } from "../../random/types/RandomSource.js";
import type { PeerRecord } from "../types/PeerRecord.js";

/**
 * Yields the subjects of probes without end: each once in random order, then anew.
 *
 * @param readSubjects Reads the present subjects.
 * @param random Source of the order.
 * @returns The next subject, or undefined while there is none.
 *
 * @example
 * const subjects = cycleSubjects(plan.localSubjects, random);
 * const subject = subjects.next().value;
 */
export function* cycleSubjects(
    readSubjects: () => readonly PeerRecord[],
    random: RandomSource,
): Generator<PeerRecord | undefined, never> {
    for (;;) {
        const pass = random.shuffle(readSubjects());
        if (pass.length === 0) {
            yield undefined;
        }
        for (const planned of pass) {
            const current = readSubjects().find(subject => subject.name === planned.name);
            if (current !== undefined) {
                yield current;
            }
        }
    }
}
