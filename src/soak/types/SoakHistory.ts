import type { ExecutedStatement } from "../../platform/standIns/types/ExecutedStatement.js";
import type { LogEntry } from "../../platform/standIns/types/LogEntry.js";
import type { CallerUnit } from "./CallerUnit.js";
import type { FaultSpan } from "./FaultSpan.js";
import type { LateSpan } from "./LateSpan.js";
import type { UnansweredStatement } from "./UnansweredStatement.js";

/** Statements, log entries and faults recorded in a run. */
export interface SoakHistory {
    readonly units: readonly CallerUnit[];
    readonly unansweredStatements: readonly UnansweredStatement[];
    readonly executedStatements: readonly ExecutedStatement[];
    /** Log of the primary after the run. */
    readonly log: readonly LogEntry[];
    /** Entries that a promotion discarded because the promoted endpoint had not received them. */
    readonly discardedEntries: readonly LogEntry[];
    /** Times at which faults of an endpoint or its link started; commits may be lost for a limited time around them. */
    readonly endpointFaults: readonly number[];
    /** Intervals with a fault of a VM or its callers' links, in which answers of the VM may be late. */
    readonly lateSpans: readonly LateSpan[];
    /** All faults and planned work of the run. */
    readonly faultSpans: readonly FaultSpan[];
}
