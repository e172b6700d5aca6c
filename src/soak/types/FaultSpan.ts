import type { FaultKind } from "./FaultKind.js";

/** A fault that was injected, and its times in milliseconds on the clock of the run. */
export interface FaultSpan {
    readonly kind: FaultKind;
    /** Number of the VM, and id of the endpoint, that a fault of this target affects. */
    readonly vm: number;
    readonly endpointId: string;
    readonly from: number;
    readonly to: number;
}
