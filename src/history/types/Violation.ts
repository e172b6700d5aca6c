import type { RecordedOperation } from "./RecordedOperation.js";
import type { ViolationKind } from "./ViolationKind.js";

/** One broken promise, with the operation that shows it. */
export interface Violation {
    readonly kind: ViolationKind;
    readonly text: string;
    readonly operation?: RecordedOperation;
}
