import type { History } from "../types/History.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";

/**
 * Creates an empty history.
 *
 * @returns The history, to which the sessions of one run add their operations.
 *
 * @example
 * const history = createHistory();
 */
export function createHistory(): History {
    const operations: RecordedOperation[] = [];
    return { record: operation => operations.push(operation), operations };
}
