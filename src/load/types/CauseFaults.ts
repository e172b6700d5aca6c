import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import type { LoadFault } from "./LoadFault.js";

/**
 * Causes faults while load runs, and marks each at its moment.
 *
 * The operations recorded so far grow while the load runs.
 */
export type CauseFaults = (
    mark: (fault: Omit<LoadFault, "at">) => void,
    operations: readonly RecordedOperation[],
) => Promise<void>;
