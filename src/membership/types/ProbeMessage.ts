import type { MembershipUpdates } from "./MembershipUpdates.js";

/** A probe of one gateway by another. */
export interface ProbeMessage {
    /** Name of the probed gateway; another one at its address refuses. */
    readonly target: string;
    readonly updates: MembershipUpdates;
}
