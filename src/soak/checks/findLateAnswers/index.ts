import { soakConstants } from "../../constants.js";
import type { SoakHistory } from "../../types/SoakHistory.js";

/**
 * Finds units with a statement that was not answered in time, except while answers of its VM may be late.
 *
 * @param history The history of a run.
 * @returns Yields a description of each such unit.
 *
 * @example
 * const late = [...findLateAnswers(history)];
 */
export function* findLateAnswers({ units, lateSpans }: SoakHistory): Generator<string> {
    const limitMilliseconds = soakConstants.statementTimeoutMilliseconds + soakConstants.lateToleranceMilliseconds;
    for (const { ids, vm, startedAt, endedAt, slowestMilliseconds } of units) {
        const isExcused = lateSpans.some(span => span.vm === vm && startedAt <= span.to && endedAt >= span.from);
        if (!isExcused && slowestMilliseconds > limitMilliseconds) {
            const sentAfter = Math.round(startedAt);
            yield `statement ${ids.at(-1)} at VM ${vm}, sent after ${sentAfter} ms, took ${slowestMilliseconds} ms`;
        }
    }
}
