import type { RecordedOperation } from "./RecordedOperation.js";
import type { ViolationKind } from "./ViolationKind.js";

/** A violation of a guarantee, with the operation in which it was found. */
export interface Violation {
    readonly kind: ViolationKind;
    readonly text: string;
    readonly operation?: RecordedOperation;
}
