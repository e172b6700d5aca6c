import type { BrokenPromise } from "./BrokenPromise.js";
import type { Fault } from "./Fault.js";
import type { SoakHistory } from "./SoakHistory.js";

/** What came of a soak. */
export interface SoakResult {
    readonly broken: readonly BrokenPromise[];
    readonly faults: readonly Fault[];
    readonly history: SoakHistory;
    /** Time from the end of the last fault until everything was served again, in milliseconds. */
    readonly recoveredMilliseconds: number | undefined;
    /** What the VMs wrote last, by name. */
    readonly outputs: Readonly<Record<string, string>>;
}
