import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import type { LoadFault } from "./LoadFault.js";

/**
 * Causes faults during the load, and calls `recordFault` when each occurs.
 *
 * The array of recorded operations grows during the load.
 */
export type CauseFaults = (
    recordFault: (fault: Omit<LoadFault, "at">) => void,
    operations: readonly RecordedOperation[],
) => Promise<void>;
