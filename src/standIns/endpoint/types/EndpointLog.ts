import type { EndpointData } from "./EndpointData.js";
import type { LogEntry } from "./LogEntry.js";
import type { LogEntryDraft } from "./LogEntryDraft.js";
import type { TermSpan } from "./TermSpan.js";

/** An endpoint's log with the data and request keys that are derived from it. */
export interface EndpointLog extends EndpointData {
    position(): number;
    lastEntryTerm(): number;
    append(draft: LogEntryDraft): LogEntry;
    /** Appends entries copied from the primary, in order; entries that do not continue the log are ignored. */
    appendCopiedEntries(entries: readonly LogEntry[]): void;
    truncate(position: number): void;
    /** At most `limit` entries after the position. */
    entriesAfter(position: number, limit: number): readonly LogEntry[];
    termSpans(): readonly TermSpan[];
    /** Last position up to which this log and a log with the given spans are equal. */
    commonPosition(spans: readonly TermSpan[]): number;
    findRequestKey(requestKey: string): LogEntry | undefined;
    /** Position of the last entry that changed a register or list. */
    lastChangePosition(name: string): number;
    onChange(listener: () => void): () => void;
}
