import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";

/** Outcome of a statement, as it is answered to the caller. */
export interface StatementOutcome {
    readonly rows: readonly string[];
    /** The endpoint's signature; undefined after a failure. */
    readonly signature?: string;
    readonly position?: LogPosition;
    readonly failure?: StatementFailure;
}
