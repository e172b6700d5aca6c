import type { FinalState } from "./FinalState.js";
import type { RecordedOperation } from "./RecordedOperation.js";

/** A history arranged for the checks. */
export interface IndexedHistory {
    /** By time of invocation. */
    readonly operations: readonly RecordedOperation[];
    /** The operation that wrote a value, by `database/value`. */
    readonly writerOf: ReadonlyMap<string, RecordedOperation>;
    /** Acknowledged writes by `database/list`, by time of completion. */
    readonly acknowledgedWrites: ReadonlyMap<string, readonly RecordedOperation[]>;
    /** The first final state of each database. */
    readonly finalStates: ReadonlyMap<string, FinalState>;
    /** All final states, from each source. */
    readonly allFinalStates: readonly FinalState[];
}
