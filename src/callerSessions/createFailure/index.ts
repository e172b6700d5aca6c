import type { FailureCode } from "../../statements/types/FailureCode.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/**
 * Creates the outcome of a statement that failed.
 *
 * @param code Why it failed.
 * @param description A few words for people.
 * @returns The outcome.
 *
 * @example
 * createFailure(FailureCode.Busy, "no connection came free in time");
 */
export function createFailure(code: FailureCode, description: string): StatementOutcome {
    return { rows: [], failure: { code, description } };
}
