import type { IndexedHistory } from "./IndexedHistory.js";
import type { Violation } from "./Violation.js";

/** A check of a history; yields each violation that it finds. */
export type HistoryCheck = (history: IndexedHistory) => Generator<Violation>;
