import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import type { Announcement } from "./Announcement.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { Renewal } from "./Renewal.js";
import type { RenewalAnswer } from "./RenewalAnswer.js";
import type { VmIdentity } from "./VmIdentity.js";

/** A VM's part in the failover duty: election of the holder, renewals, leases and announcements. */
export interface Duty {
    /** Fencing token of this VM while it is the holder; otherwise undefined. */
    heldToken(): number | undefined;
    /**
     * Verifies in the platform's store that this VM is still the holder.
     *
     * Returns the fencing token, or undefined when this VM is not the holder or this could not be verified. While the
     * store does not answer, recent contact with all other VMs is enough.
     */
    verify(): Promise<number | undefined>;
    /** The other VMs that are known to be alive. */
    otherVms(): readonly VmIdentity[];
    /** The VMs of all zones that hold connections to endpoints, with this VM if it does; none before it knows them. */
    hostVms(): readonly VmIdentity[];
    /** Whether this VM holds connections to endpoints. */
    isHost(): boolean;
    /** Whether the holder or a relay answered the last renewal of this VM, or this VM is the holder. */
    isInContact(): boolean;
    /** Whether this VM is the holder, and no other VM can have become it. */
    isCertainHolder(): boolean;
    /** Whether this VM may rely on its known primaries: none can have been replaced without an announcement. */
    hasLease(): boolean;
    /** Time since this VM was last certain to be the holder or in contact with it, in milliseconds; undefined before. */
    holderAgeMilliseconds(): number | undefined;
    /**
     * Version of the store up to which all VMs know the endpoints that may verify a primary without a lease; undefined
     * while this VM does not know it. Only of use to the holder.
     */
    findCommonVersion(): StoreVersion | undefined;
    /** Whether this VM grants leases while it is the holder; a new holder does not before `startGranting`. */
    isGranting(): boolean;
    /** Grants leases from now on: no order of a previous holder can take effect, and each group's primary is known. */
    startGranting(): void;
    /** Waits until every order of a previous holder has taken effect. */
    waitForFormerOrders(): Promise<void>;
    /**
     * Waits until the leases of VMs that did not confirm an announcement have expired, and until nothing that a previous
     * holder did can take effect.
     */
    waitForLeases(vms: readonly VmIdentity[]): Promise<void>;
    /**
     * Sends an announcement to the VMs that may have a lease; resolves with those that did not confirm it. Fails with
     * `Conflict`, and announces nothing, when this VM is no longer the holder with this token.
     */
    announce(announcement: Omit<Announcement, "sequence">, token: number): Promise<readonly VmIdentity[]>;
    /** Answers another VM's renewal, as the holder or as a relay. */
    answerRenewal(renewal: Renewal): RenewalAnswer;
    /** Reads the recorded holder from the store for another VM; undefined when there is no record. */
    readHolder(): Promise<DutyHolder | undefined>;
    /** Whether this VM has had recent contact with the holder that has this token. */
    hasHolderContact(token: number): boolean;
    /** Applies a holder, unless one with a higher token is known. */
    applyHolder(holder: DutyHolder): void;
    /** Applies an announcement, unless a newer one of its group is known. */
    applyAnnouncement(announcement: Announcement): void;
    /** Reports with the next renewals that this VM is about to stop, so that the others no longer choose it as a host. */
    leave(): void;
    /**
     * Hands the duty over to another VM, because this one stops; it stays the holder when no other VM is in contact or
     * the store does not answer. With `hasKnownEnds`, the end of each order of this holder is known.
     */
    handOver(hasKnownEnds: boolean): Promise<void>;
    start(): Promise<void>;
    stop(): Promise<void>;
}
