import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { checkFinalState } from "../checkFinalState/index.js";
import { checkReads } from "../checkReads/index.js";
import { checkRecency } from "../checkRecency/index.js";
import { checkSessions } from "../checkSessions/index.js";
import { checkTerms } from "../checkTerms/index.js";
import { historyConstants } from "../constants.js";
import { indexHistory } from "../indexHistory/index.js";
import type { FinalState } from "../types/FinalState.js";
import type { HistoryCheck } from "../types/HistoryCheck.js";
import type { HistoryVerdict } from "../types/HistoryVerdict.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";
import type { Violation } from "../types/Violation.js";
import type { ViolationKind } from "../types/ViolationKind.js";

const checks: readonly HistoryCheck[] = [checkFinalState, checkReads, checkSessions, checkRecency, checkTerms];

/**
 * Checks a history against the guarantees towards callers.
 *
 * @param operations The recorded operations of all sessions.
 * @param finalStates The lists after the run; the first one of each database is the reference for reads.
 * @returns The verdict, with the first violations of each check and the number of all.
 *
 * @example
 * const verdict = checkHistory(history.operations, finalStates);
 */
export function checkHistory(
    operations: readonly RecordedOperation[],
    finalStates: readonly FinalState[],
): HistoryVerdict {
    const indexed = indexHistory(operations, finalStates);
    const countByKind: Partial<Record<ViolationKind, number>> = {};
    const violations: Violation[] = [];
    for (const check of checks) {
        let keptCount = 0;
        for (const violation of check(indexed)) {
            countByKind[violation.kind] = (countByKind[violation.kind] ?? 0) + 1;
            if (keptCount < historyConstants.maximumViolationsPerCheck) {
                violations.push(violation);
                keptCount += 1;
            }
        }
    }
    const answered = operations.filter(operation => operation.outcome === OutcomeKind.Answer);
    return {
        isSound: violations.length === 0,
        operationCount: operations.length,
        acknowledgedWriteCount: answered.filter(operation => operation.value !== undefined).length,
        answeredReadCount: answered.filter(operation => operation.contents !== undefined).length,
        unknownOutcomeCount: operations.filter(operation => operation.outcome === OutcomeKind.OutcomeUnknown).length,
        countByKind,
        violations,
    };
}
