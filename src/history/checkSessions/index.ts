import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { IndexedHistory } from "../types/IndexedHistory.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";
import type { Violation } from "../types/Violation.js";
import { ViolationKind } from "../types/ViolationKind.js";

/** What one session must see of one list. */
interface ListFloor {
    readonly ownWrites: Set<string>;
    leastLength: number;
}

/**
 * Checks that each session reads its own writes, and never less than it read before.
 *
 * That also holds for a read that accepted an age, as long as it carried the session's token; a read without one
 * belongs to a session of its own.
 *
 * @param history The arranged history.
 * @returns The violations found.
 *
 * @example
 * const violations = [...checkSessions(indexed)];
 */
export function* checkSessions(history: IndexedHistory): Generator<Violation> {
    const floors = new Map<string, ListFloor>();
    for (const operation of history.operations) {
        if (operation.outcome !== OutcomeKind.Answer) {
            continue;
        }
        if (operation.value !== undefined) {
            for (const list of operation.lists) {
                floorOf(floors, operation, list).ownWrites.add(operation.value);
            }
        }
        for (const { list, values } of operation.contents ?? []) {
            const floor = floorOf(floors, operation, list);
            yield* checkFloor(operation, values, floor);
            floor.leastLength = Math.max(floor.leastLength, values.length);
        }
    }
}

function floorOf(floors: Map<string, ListFloor>, operation: RecordedOperation, list: string): ListFloor {
    const key = `${operation.session}/${operation.database}/${list}`;
    const floor = floors.get(key) ?? { ownWrites: new Set<string>(), leastLength: 0 };
    floors.set(key, floor);
    return floor;
}

function* checkFloor(
    operation: RecordedOperation,
    values: readonly string[],
    floor: ListFloor,
): Generator<Violation> {
    const present = new Set(values);
    for (const value of floor.ownWrites) {
        if (!present.has(value)) {
            const text = `Session ${operation.session} did not read its own ${value}.`;
            yield { kind: ViolationKind.StaleRead, text, operation };
        }
    }
    if (values.length < floor.leastLength) {
        const text = `Session ${operation.session} had read ${floor.leastLength} values, now ${values.length}.`;
        yield { kind: ViolationKind.NonMonotonicRead, text, operation };
    }
}
