import type { MembershipUpdates } from "./MembershipUpdates.js";

/** A probe of one gateway by another. */
export interface ProbeMessage {
    /** Name of the probed gateway; another gateway at the same address refuses the probe. */
    readonly target: string;
    readonly updates: MembershipUpdates;
}
