import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { PreparedStatement } from "../../statements/types/PreparedStatement.js";
import type { CallerIdentity } from "./CallerIdentity.js";

/** State of one caller's session. */
export interface SessionContext {
    readonly database: string;
    /** In whose name the present operation runs. */
    identity: CallerIdentity;
    /** Values that the caller set. */
    readonly values: Map<string, string>;
    /** Statements that the caller prepared, by the caller's names. */
    readonly prepared: Map<string, PreparedStatement>;
    /** Log position of the session's newest commit, by group. */
    readonly commits: Map<string, LogPosition>;
}
