import { soakConstants } from "../../constants.js";
import type { SoakHistory } from "../../types/SoakHistory.js";

/**
 * Finds statements that were not answered within their time limit although no VM and no caller's link was at fault.
 *
 * @param history The history of a run.
 * @returns Yields the statements.
 *
 * @example
 * const late = [...findLateAnswers(history)];
 */
export function* findLateAnswers({ units, lateSpans }: SoakHistory): Generator<string> {
    const limit = soakConstants.statementMilliseconds + soakConstants.lateMilliseconds;
    for (const { ids, vm, startedAt, endedAt, slowestMilliseconds } of units) {
        const isExcused = lateSpans.some(span => span.vm === vm && startedAt <= span.to && endedAt >= span.from);
        if (!isExcused && slowestMilliseconds > limit) {
            const sentAfter = Math.round(startedAt);
            yield `statement ${ids.at(-1)} at VM ${vm}, sent after ${sentAfter} ms, took ${slowestMilliseconds} ms`;
        }
    }
}
