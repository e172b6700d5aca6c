import type { LogEntry } from "./LogEntry.js";
import type { ReplicationFrameKind } from "./ReplicationFrameKind.js";
import type { TermSpan } from "./TermSpan.js";

/** A frame on a replication connection. */
export type ReplicationFrame =
    | readonly [ReplicationFrameKind.Hello, replica: string, term: number, spans: readonly TermSpan[]]
    | readonly [ReplicationFrameKind.Lag, milliseconds: number]
    | readonly [ReplicationFrameKind.Start, commonPosition: number, startPosition: number]
    | readonly [ReplicationFrameKind.Entries, entries: readonly LogEntry[]]
    | readonly [ReplicationFrameKind.Heartbeat];
