import type { FinalState } from "./FinalState.js";
import type { RecordedOperation } from "./RecordedOperation.js";

/** A history, sorted and indexed for the checks. */
export interface IndexedHistory {
    /** All operations, sorted by time of invocation. */
    readonly operations: readonly RecordedOperation[];
    /** The operation that wrote a value, by `database/value`. */
    readonly writesByValue: ReadonlyMap<string, RecordedOperation>;
    /** Acknowledged writes by `database/list`, sorted by time of completion. */
    readonly acknowledgedWrites: ReadonlyMap<string, readonly RecordedOperation[]>;
    /** The first final state of each database, with which reads are compared. */
    readonly referenceStates: ReadonlyMap<string, FinalState>;
    /** The final states from all sources. */
    readonly allFinalStates: readonly FinalState[];
}
