import type { ChangePhase } from "./ChangePhase.js";
import type { DeliveryReceiver } from "./DeliveryReceiver.js";
import type { WritePhase } from "./WritePhase.js";

/** An answer of the holder to a renewal, on its way to the VM. */
interface DeliveryAnswer {
    /** Newest announcement of the group with the write that the answer carries; 0 when none. */
    readonly carried: number;
    /** Highest announcement that the holder had made. */
    readonly highest: number;
    /** Whether the answer grants a lease that has not ended. */
    readonly hasLease: boolean;
    /** Whether the answer was given after the change had been announced. */
    readonly isAfterAnnouncement: boolean;
}

/** A state of the model of the delivery: a holder that announces changes in two groups, a relay, a VM with a write. */
export interface DeliveryState {
    /** Progress with the change of the group with the write. */
    readonly phase: ChangePhase;
    /** Number of the last announcement, of any group. */
    readonly lastSequence: number;
    /** Number of the announcement that the change begins; 0 before it. */
    readonly begunSequence: number;
    /** Number of the newest announcement of the group with the write. */
    readonly newestSequence: number;
    /** Announcements of the other group. */
    readonly otherAnnouncements: number;
    /** Whether the VM confirmed the announcement that the change begins. */
    readonly isConfirmed: boolean;
    /** What the VM has received. */
    readonly vm: DeliveryReceiver;
    /** What the relay of the VM's availability zone has received. */
    readonly relay: DeliveryReceiver;
    readonly hasLease: boolean;
    /** Whether the VM's lease was granted after the change had been announced. */
    readonly isLeaseAfterAnnouncement: boolean;
    /** What the VM's renewal on its way to the holder reports; undefined when there is none. */
    readonly renewal: number | undefined;
    readonly answer: DeliveryAnswer | undefined;
    /** The write, which the old primary commits after the successor leads. */
    readonly write: WritePhase;
}
