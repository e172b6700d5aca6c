import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { IndexedHistory } from "../types/IndexedHistory.js";
import type { ListContents } from "../types/ListContents.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";
import type { Violation } from "../types/Violation.js";
import { ViolationKind } from "../types/ViolationKind.js";

/**
 * Checks the result of each answered read.
 *
 * The result must name the requested lists, and hold only values written to them by requests that ran and had begun.
 * It must hold equal values for both lists of a pair, and be a prefix of the final state, so that no value that was
 * read is undone later.
 *
 * @param history The indexed history.
 * @returns Yields the violations found.
 *
 * @example
 * const violations = [...checkReads(indexed)];
 */
export function* checkReads(history: IndexedHistory): Generator<Violation> {
    for (const operation of history.operations) {
        if (operation.contents === undefined) {
            continue;
        }
        yield* checkLists(operation, operation.contents);
        for (const contents of operation.contents) {
            yield* checkValues(history, operation, contents);
            yield* checkPrefix(history, operation, contents);
        }
    }
}

function* checkLists(operation: RecordedOperation, contents: readonly ListContents[]): Generator<Violation> {
    if (contents.map(each => each.list).join() !== operation.lists.join()) {
        const text = `Asked for ${operation.lists.join()}, answered ${contents.map(each => each.list).join()}.`;
        yield { kind: ViolationKind.ForeignAnswer, text, operation };
        return;
    }
    const [left, right] = contents;
    if (left !== undefined && right !== undefined && left.values.join("\n") !== right.values.join("\n")) {
        const text = `The pair ${operation.lists.join()} was read with ${left.values.length} and ${right.values.length}`
            + " values that differ.";
        yield { kind: ViolationKind.PartialTransaction, text, operation };
    }
}

function* checkValues(
    history: IndexedHistory,
    operation: RecordedOperation,
    contents: ListContents,
): Generator<Violation> {
    const seen = new Set<string>();
    for (const value of contents.values) {
        const writer = history.writesByValue.get(`${operation.database}/${value}`);
        const kind = seen.has(value)
            ? ViolationKind.DoubledWrite
            : findValueViolation(operation, contents.list, writer);
        seen.add(value);
        if (kind !== undefined) {
            yield { kind, text: `${value} was read from ${contents.list}.`, operation };
        }
    }
}

function findValueViolation(
    operation: RecordedOperation,
    list: string,
    writer: RecordedOperation | undefined,
): ViolationKind | undefined {
    if (writer === undefined || writer.invokedAt > operation.completedAt) {
        return ViolationKind.ReadFromFuture;
    }
    if (!writer.lists.includes(list)) {
        return writer.caller === operation.caller ? ViolationKind.ForeignAnswer : ViolationKind.MixedTransaction;
    }
    return writer.outcome === OutcomeKind.NotRun ? ViolationKind.NotRunTookEffect : undefined;
}

function* checkPrefix(
    history: IndexedHistory,
    operation: RecordedOperation,
    contents: ListContents,
): Generator<Violation> {
    const state = history.referenceStates.get(operation.database);
    if (state === undefined) {
        return;
    }
    const final = state.lists.get(contents.list) ?? [];
    const index = contents.values.findIndex((value, position) => final[position] !== value);
    if (index >= 0) {
        const text = `${contents.values[index]}, read at place ${index} of ${contents.list}, is not there`
            + ` in ${state.source}.`;
        yield { kind: ViolationKind.ReadOfUndoneWrite, text, operation };
    }
}
