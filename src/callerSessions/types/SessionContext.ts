import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { PreparedStatement } from "../../statements/types/PreparedStatement.js";

/** What belongs to one caller's session. */
export interface SessionContext {
    readonly database: string;
    /** Values that the caller set. */
    readonly values: Map<string, string>;
    /** Statements that the caller prepared, by its names. */
    readonly prepared: Map<string, PreparedStatement>;
    /** Position of the session's newest commit in each group. */
    readonly commits: Map<string, LogPosition>;
}
