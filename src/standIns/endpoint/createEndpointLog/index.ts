import { createNotifier } from "../../createNotifier/index.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { LogEntry } from "../types/LogEntry.js";
import type { LogEntryDraft } from "../types/LogEntryDraft.js";
import type { TermSpan } from "../types/TermSpan.js";

/**
 * Creates an empty log with the data and request keys that are derived from its entries.
 *
 * @returns The log.
 *
 * @example
 * const log = createEndpointLog();
 * log.append({ term: 1, kind: LogEntryKind.Marker, operations: [] });
 */
export function createEndpointLog(): EndpointLog {
    const entries: LogEntry[] = [];
    const { notify, onChange } = createNotifier();
    const registers = new Map<string, unknown>();
    const lists = new Map<string, unknown[]>();
    const changePositions = new Map<string, number>();
    const entriesByRequestKey = new Map<string, LogEntry>();

    function apply(entry: LogEntry): void {
        for (const operation of entry.operations) {
            if ("register" in operation) {
                registers.set(operation.register, operation.value);
                changePositions.set(operation.register, entry.position);
                continue;
            }
            const list = lists.get(operation.list) ?? [];
            list.push(operation.value);
            lists.set(operation.list, list);
            changePositions.set(operation.list, entry.position);
        }
        if (entry.requestKey !== undefined) {
            entriesByRequestKey.set(entry.requestKey, entry);
        }
    }

    function add(entry: LogEntry): void {
        entries.push(entry);
        apply(entry);
    }

    function append(draft: LogEntryDraft): LogEntry {
        const entry = { ...draft, position: entries.length + 1, writtenAt: Date.now() };
        add(entry);
        notify();
        return entry;
    }

    function appendCopiedEntries(copied: readonly LogEntry[]): void {
        for (const entry of copied) {
            if (entry.position === entries.length + 1) {
                add(entry);
            }
        }
        notify();
    }

    function truncate(position: number): void {
        if (position >= entries.length) {
            return;
        }
        entries.length = position;
        for (const derived of [registers, lists, changePositions, entriesByRequestKey]) {
            derived.clear();
        }
        entries.forEach(apply);
        notify();
    }

    function termSpans(): TermSpan[] {
        const spans: TermSpan[] = [];
        for (const entry of entries) {
            if (spans.at(-1)?.term === entry.term) {
                spans.pop();
            }
            spans.push({ term: entry.term, lastPosition: entry.position });
        }
        return spans;
    }

    function commonPosition(spans: readonly TermSpan[]): number {
        let common = 0;
        for (const [index, own] of termSpans().entries()) {
            const other = spans[index];
            if (other?.term !== own.term) {
                break;
            }
            common = Math.min(own.lastPosition, other.lastPosition);
            if (own.lastPosition !== other.lastPosition) {
                break;
            }
        }
        return common;
    }

    return {
        position: () => entries.length,
        lastEntryTerm: () => entries.at(-1)?.term ?? 0,
        append,
        appendCopiedEntries,
        truncate,
        entriesAfter: (position, limit) => entries.slice(position, position + limit),
        termSpans,
        commonPosition,
        findRequestKey: requestKey => entriesByRequestKey.get(requestKey),
        lastChangePosition: name => changePositions.get(name) ?? 0,
        onChange,
        readRegister: register => registers.get(register),
        readList: list => lists.get(list) ?? [],
    };
}
