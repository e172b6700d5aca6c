import type { ChangePhase } from "./ChangePhase.js";
import type { WritePhase } from "./WritePhase.js";

/** A state of the model: an old primary, a successor, the holder that promotes it, and one VM with one write. */
export interface ChangeState {
    readonly phase: ChangePhase;
    /** Whether the VM and the holder cannot reach each other. */
    readonly isCut: boolean;
    /** Whether the VM has a lease from a holder. */
    readonly hasLease: boolean;
    /** Whether that lease was granted by a previous holder. */
    readonly isFormerLease: boolean;
    /** Whether the VM has received the announcement that the change has begun. */
    readonly hasReceivedAnnouncement: boolean;
    /** Whether the holder has received the VM's confirmation of the announcement. */
    readonly hasConfirmed: boolean;
    /** Whether the old primary has stepped down. */
    readonly hasSteppedDown: boolean;
    readonly write: WritePhase;
    /** Whether the successor already was the primary when the old primary committed the write. */
    readonly isCommittedAfterChange: boolean;
    /** Whether the other endpoint was queried before the write and was not the primary. */
    readonly isVerified: boolean;
}
