import type { ContactPhase } from "./ContactPhase.js";
import type { ContactScope } from "./ContactScope.js";
import type { WritePhase } from "./WritePhase.js";

/** A state of the model of the holder's contact: a holder, a VM that may replace it, another VM with a write. */
export interface ContactState {
    /** What the search covers; the same in all states. */
    readonly scope: ContactScope;
    /** The VM that may replace the holder. */
    readonly rival: ContactPhase;
    /** Whether the holder has ever heard the rival. */
    readonly isRivalListed: boolean;
    /** Whether the holder's last verification in the store still counts. */
    readonly isVerified: boolean;
    /** Whether the time for which contact counts after the last verification has not ended. */
    readonly isWithinBound: boolean;
    /** Whether the holder takes its list of VMs for complete. */
    readonly isListComplete: boolean;
    readonly hasLease: boolean;
    /** Whether the rival waits for the end of the lease: it was granted before the takeover, or by a verified holder. */
    readonly isLeaseCounted: boolean;
    /** Whether the endpoint that the rival promoted leads. */
    readonly isPromoted: boolean;
    /** The write, which the old primary commits after the promotion. */
    readonly write: WritePhase;
}
