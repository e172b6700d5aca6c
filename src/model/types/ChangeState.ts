import type { ChangePhase } from "./ChangePhase.js";
import type { WritePhase } from "./WritePhase.js";

/** A state of the model: an old primary, a successor, the holder that promotes it, and one VM with one write. */
export interface ChangeState {
    readonly phase: ChangePhase;
    /** Whether the VM and the holder reach each other. */
    readonly isCut: boolean;
    /** Whether the VM relies on what a holder told it. */
    readonly hasLease: boolean;
    /** Whether that lease was granted by a holder before the present one. */
    readonly isFormerLease: boolean;
    /** Whether the VM has heard that the change has begun. */
    readonly hasHeard: boolean;
    /** Whether the VM confirmed to the holder that it heard. */
    readonly hasConfirmed: boolean;
    /** Whether the old primary has stepped down. */
    readonly hasSteppedDown: boolean;
    readonly write: WritePhase;
    /** Whether the successor led already when the old primary committed the write. */
    readonly isLate: boolean;
    /** Whether the other endpoint was asked for the write and did not lead. */
    readonly isConfirmed: boolean;
}
