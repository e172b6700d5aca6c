import type { SessionState } from "../../../statements/types/SessionState.js";
import type { StatementFailure } from "../../../statements/types/StatementFailure.js";

/** Answer to a caller's statement or startup message. */
export interface CallerAnswer {
    readonly rows: readonly string[];
    readonly signature?: string;
    readonly failure?: StatementFailure;
    /** Undefined when the connection was closed before the answer was complete. */
    readonly state?: SessionState;
}
