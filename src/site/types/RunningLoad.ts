import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import type { LoadFault } from "../../load/types/LoadFault.js";
import type { LoadOutcome } from "../../load/types/LoadOutcome.js";

/** Load that runs until `end` is called. */
export interface RunningLoad {
    /** The operations recorded so far; grows while the load runs. */
    readonly operations: readonly RecordedOperation[];
    /** Records a fault with the current time. */
    mark(fault: Omit<LoadFault, "at">): void;
    /** Ends the load and checks its history; a second call returns the same outcome. */
    end(): Promise<LoadOutcome>;
}
