import type { FailureCode } from "../../statements/types/FailureCode.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/**
 * Creates the outcome of a statement that failed.
 *
 * @param code Reason of the failure.
 * @param description Reason in a few words, for log lines and people.
 * @returns The outcome.
 *
 * @example
 * createFailure(FailureCode.Busy, "no connection available in time");
 */
export function createFailure(code: FailureCode, description: string): StatementOutcome {
    return { rows: [], failure: { code, description } };
}
