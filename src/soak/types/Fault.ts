import type { FaultKind } from "./FaultKind.js";

/** One fault of a run. */
export interface Fault {
    readonly kind: FaultKind;
    /** When it begins, from the start of the load. */
    readonly atMilliseconds: number;
    readonly durationMilliseconds: number;
    /** Number of the VM or endpoint that it hits; taken modulo their count. */
    readonly target: number;
}
