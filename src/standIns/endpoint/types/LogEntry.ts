import type { LogEntryKind } from "./LogEntryKind.js";
import type { LogOperation } from "./LogOperation.js";

/** One entry of an endpoint's log. */
export interface LogEntry {
    /** Position in the log, counted from 1. */
    readonly position: number;
    /** Term of the primary that wrote the entry. */
    readonly term: number;
    readonly kind: LogEntryKind;
    readonly operations: readonly LogOperation[];
    readonly requestKey?: string;
    readonly result?: unknown;
    /** Wall-clock time at which the primary wrote the entry, for the emulated replication lag. */
    readonly writtenAt: number;
}
