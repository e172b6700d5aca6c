import type { Announcement } from "./Announcement.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { Renewal } from "./Renewal.js";
import type { RenewalAnswer } from "./RenewalAnswer.js";
import type { VmIdentity } from "./VmIdentity.js";

/** Who may change primaries, and what that VM and the others tell each other. */
export interface Duty {
    /** This VM's token while it is the holder; undefined while it is not. */
    heldToken(): number | undefined;
    /**
     * Makes sure in the platform's store that this VM is still the holder.
     *
     * Returns the token, or undefined when it is not the holder or the store cannot tell.
     */
    verify(): Promise<number | undefined>;
    /** The other VMs that live, as far as is known. */
    otherVms(): readonly VmIdentity[];
    /** Whether this VM may rely on the primaries that it knows: none was replaced without its being told. */
    hasLease(): boolean;
    /** Waits until VMs that did not confirm an announcement rely on nothing older. */
    waitForLeases(vms: readonly VmIdentity[]): Promise<void>;
    /** Tells all VMs; resolves with those that did not confirm. */
    announce(announcement: Omit<Announcement, "sequence">): Promise<readonly VmIdentity[]>;
    /** Answers another VM's renewal. */
    answerRenewal(renewal: Renewal): RenewalAnswer;
    /** Answers whether the holder with that token was just heard. */
    answerHeard(token: number): boolean;
    /** Takes in who the holder is. */
    learnHolder(holder: DutyHolder): void;
    /** Takes in an announcement. */
    learnAnnouncement(announcement: Announcement): void;
    start(): Promise<void>;
    stop(): Promise<void>;
}
