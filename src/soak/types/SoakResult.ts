import type { BrokenPromise } from "./BrokenPromise.js";
import type { Fault } from "./Fault.js";
import type { SoakHistory } from "./SoakHistory.js";

/** Result of a soak test. */
export interface SoakResult {
    readonly broken: readonly BrokenPromise[];
    readonly faults: readonly Fault[];
    readonly history: SoakHistory;
    /** Milliseconds from the end of the last fault until all VMs served all databases; undefined if not in time. */
    readonly recoveredMilliseconds: number | undefined;
    /** Last output of the VMs, by name. */
    readonly outputs: Readonly<Record<string, string>>;
}
