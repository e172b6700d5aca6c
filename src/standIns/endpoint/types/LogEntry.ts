import type { LogEntryKind } from "./LogEntryKind.js";
import type { LogOperation } from "./LogOperation.js";

/** One entry of an endpoint's log. */
export interface LogEntry {
    /** Counted from 1. */
    readonly position: number;
    /** Term of the primary that wrote it. */
    readonly term: number;
    readonly kind: LogEntryKind;
    readonly operations: readonly LogOperation[];
    readonly requestKey?: string;
    readonly result?: unknown;
    /** Wall time at which the primary wrote it, for the emulated replication lag. */
    readonly writtenAt: number;
}
