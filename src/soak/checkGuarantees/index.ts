import { findDoubledWrites } from "../checks/findDoubledWrites/index.js";
import { findForeignAnswers } from "../checks/findForeignAnswers/index.js";
import { findForeignOwners } from "../checks/findForeignOwners/index.js";
import { findLateAnswers } from "../checks/findLateAnswers/index.js";
import { findLostWrites } from "../checks/findLostWrites/index.js";
import { findRefusedWritesInLog } from "../checks/findRefusedWritesInLog/index.js";
import { findStaleReads } from "../checks/findStaleReads/index.js";
import { findUnansweredStatements } from "../checks/findUnansweredStatements/index.js";
import { findUnrequestedStatements } from "../checks/findUnrequestedStatements/index.js";
import { findWrongSessionVariables } from "../checks/findWrongSessionVariables/index.js";
import type { GuaranteeViolation } from "../types/GuaranteeViolation.js";
import type { SoakHistory } from "../types/SoakHistory.js";

/** Checks one guarantee; yields a description of each violation. */
type GuaranteeCheck = (history: SoakHistory) => Iterable<string>;

const checks: Readonly<Record<string, GuaranteeCheck>> = {
    "no acknowledged write is lost": findLostWrites,
    "no write takes effect twice": findDoubledWrites,
    "what was refused did not take effect": findRefusedWritesInLog,
    "reads are as fresh as their route promises": findStaleReads,
    "answers are those of the endpoint that ran the statement": findForeignAnswers,
    "endpoints run what callers sent": findUnrequestedStatements,
    "statements run in the name of their caller's workspace": findForeignOwners,
    "values belong to their session": findWrongSessionVariables,
    "every statement is answered in time": findLateAnswers,
    "what a VM accepted is answered around planned work": findUnansweredStatements,
};

/**
 * Checks the guarantees of the proxy against the statements that callers and endpoints recorded.
 *
 * @param history The history of a run.
 * @returns The violations found.
 *
 * @example
 * const violations = checkGuarantees(history);
 */
export function checkGuarantees(history: SoakHistory): readonly GuaranteeViolation[] {
    return Object.entries(checks).flatMap(([promise, check]) =>
        [...check(history)].map(detail => ({ promise, detail }))
    );
}
