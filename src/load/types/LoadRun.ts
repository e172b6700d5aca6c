import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import type { LoadFault } from "./LoadFault.js";

/** One finished run of load. Times are milliseconds of the history's clock. */
export interface LoadRun {
    readonly operations: readonly RecordedOperation[];
    readonly startedAt: number;
    readonly endedAt: number;
    readonly faults: readonly LoadFault[];
}
