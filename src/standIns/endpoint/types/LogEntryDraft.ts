import type { LogEntry } from "./LogEntry.js";

/** A log entry before the log gives it its position. */
export type LogEntryDraft = Omit<LogEntry, "position" | "writtenAt">;
