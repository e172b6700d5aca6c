import { historyConstants } from "../constants.js";
import type { IndexedHistory } from "../types/IndexedHistory.js";
import { ReadGuarantee } from "../types/ReadGuarantee.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";
import type { Violation } from "../types/Violation.js";
import { ViolationKind } from "../types/ViolationKind.js";

/** Acknowledged writes that completed before this time must be in the result of a read. */
const requiredBefore: Readonly<Record<ReadGuarantee, (operation: RecordedOperation) => number>> = {
    [ReadGuarantee.Latest]: operation => operation.invokedAt,
    [ReadGuarantee.Age]: operation =>
        operation.invokedAt - (operation.ageMilliseconds ?? operation.maximumAgeMilliseconds ?? 0)
        - historyConstants.ageToleranceMilliseconds,
    [ReadGuarantee.Session]: () => -Infinity,
    [ReadGuarantee.Any]: () => -Infinity,
};

const violationKinds: Readonly<Partial<Record<ReadGuarantee, ViolationKind>>> = {
    [ReadGuarantee.Age]: ViolationKind.ReadTooOld,
    [ReadGuarantee.Latest]: ViolationKind.MissedLatestWrite,
};

/**
 * Checks reads whose guarantee bounds the age of the data: reads of the latest data, and bounded-staleness reads.
 *
 * The result of such a read must hold every write of any caller that was acknowledged before the bound.
 *
 * @param history The indexed history.
 * @returns Yields the violations found.
 *
 * @example
 * const violations = [...checkRecency(indexed)];
 */
export function* checkRecency(history: IndexedHistory): Generator<Violation> {
    for (const operation of history.operations) {
        const kind = operation.guarantee === undefined ? undefined : violationKinds[operation.guarantee];
        if (operation.contents === undefined || operation.guarantee === undefined || kind === undefined) {
            continue;
        }
        yield* checkProvenAge(operation);
        const before = requiredBefore[operation.guarantee](operation);
        for (const { list, values } of operation.contents) {
            const present = new Set(values);
            for (const write of history.acknowledgedWrites.get(`${operation.database}/${list}`) ?? []) {
                if (write.completedAt >= before) {
                    break;
                }
                if (write.value !== undefined && !present.has(write.value)) {
                    const earlyMilliseconds = Math.round(before - write.completedAt);
                    const text =
                        `${write.value} was acknowledged ${earlyMilliseconds} ms before the bound and is missing.`;
                    yield { kind, text, operation };
                }
            }
        }
    }
}

function* checkProvenAge(operation: RecordedOperation): Generator<Violation> {
    const { ageMilliseconds, maximumAgeMilliseconds } = operation;
    if (ageMilliseconds === undefined || maximumAgeMilliseconds === undefined) {
        return;
    }
    if (ageMilliseconds > maximumAgeMilliseconds + historyConstants.ageToleranceMilliseconds) {
        const text = `Answered with age ${ageMilliseconds} ms; at most ${maximumAgeMilliseconds} ms was accepted.`;
        yield { kind: ViolationKind.ReadTooOld, text, operation };
    }
}
