import type { LogPosition } from "../../../statements/types/LogPosition.js";

/** One commit in an endpoint's log. */
export interface LogEntry {
    readonly position: LogPosition;
    /** Ids of the committed writes. */
    readonly ids: readonly string[];
    readonly items: Readonly<Record<string, string>>;
}
