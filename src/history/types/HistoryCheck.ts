import type { IndexedHistory } from "./IndexedHistory.js";
import type { Violation } from "./Violation.js";

/** One check: yields each violation it finds. */
export type HistoryCheck = (history: IndexedHistory) => Generator<Violation>;
