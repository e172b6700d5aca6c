import type { ExecutedStatement } from "../../platform/standIns/types/ExecutedStatement.js";
import type { LogEntry } from "../../platform/standIns/types/LogEntry.js";
import type { CallerUnit } from "./CallerUnit.js";
import type { LateSpan } from "./LateSpan.js";

/** All that callers and endpoints saw in a run. */
export interface SoakHistory {
    readonly units: readonly CallerUnit[];
    readonly executed: readonly ExecutedStatement[];
    /** Log of the primary after the run. */
    readonly log: readonly LogEntry[];
    /** Entries that a promotion dropped, because the endpoint promoted had not received them. */
    readonly dropped: readonly LogEntry[];
    /** Times at which an endpoint was at fault, or its links; commits may be lost for a while after. */
    readonly endpointFaults: readonly number[];
    /** Spans in which a VM or its callers' links were at fault: its answers may be late. */
    readonly lateSpans: readonly LateSpan[];
}
