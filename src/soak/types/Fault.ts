import type { FaultKind } from "./FaultKind.js";

/** A fault that is injected in a run. */
export interface Fault {
    readonly kind: FaultKind;
    /** When the fault starts, relative to the start of the fault injection. */
    readonly atMilliseconds: number;
    readonly durationMilliseconds: number;
    /** Number of the affected VM or endpoint; taken modulo their count. */
    readonly target: number;
}
