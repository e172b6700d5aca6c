import type { RecordedOperation } from "./RecordedOperation.js";

/** Operations recorded by the sessions of one run. */
export interface History {
    record(operation: RecordedOperation): void;
    readonly operations: readonly RecordedOperation[];
}
