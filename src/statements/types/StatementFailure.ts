import type { FailureCode } from "./FailureCode.js";

/** The failure of a statement. */
export interface StatementFailure {
    readonly code: FailureCode;
    /** Reason in a few words, for log lines and people. */
    readonly description: string;
}
