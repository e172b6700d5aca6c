import type { Fault } from "./Fault.js";
import type { GuaranteeViolation } from "./GuaranteeViolation.js";
import type { SoakHistory } from "./SoakHistory.js";

/** Result of a soak test. */
export interface SoakResult {
    readonly violations: readonly GuaranteeViolation[];
    readonly faults: readonly Fault[];
    readonly history: SoakHistory;
    /** Milliseconds from the end of the last fault until all VMs served all databases; undefined if not in time. */
    readonly recoveredMilliseconds: number | undefined;
    /** Last output of the VMs, by name. */
    readonly outputs: Readonly<Record<string, string>>;
}
