import type { LogEntry } from "./LogEntry.js";

/** A log entry before the log assigns its position and time. */
export type LogEntryDraft = Omit<LogEntry, "position" | "writtenAt">;
