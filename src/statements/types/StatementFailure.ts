import type { FailureCode } from "./FailureCode.js";

/** The failure of a statement. */
export interface StatementFailure {
    readonly code: FailureCode;
    /** A few words for people. */
    readonly description: string;
}
