import type { HolderNumber } from "./HolderNumber.js";
import type { VmIdentity } from "./VmIdentity.js";
import type { VmListUpdate } from "./VmListUpdate.js";

/** The VMs that are alive. The holder of the failover duty keeps the list; the other VMs have copies of it. */
export interface VmList {
    /** Begins the numbering of versions by the holder with this token. */
    startToken(token: number): void;
    /** Records a call of a VM to this one, the holder, and whether the holder answered that VM's previous call. */
    recordContact(vm: VmIdentity, hasHolderContact: boolean): void;
    /** Records the VMs that are in contact with a relay. Without a list, those that it reported last still are. */
    recordMembers(relayName: string, members: readonly VmIdentity[] | undefined): void;
    /** Removes a VM that is stopping. */
    remove(name: string): void;
    /** The VMs that are alive; the same array as long as the list does not change. */
    list(): readonly VmIdentity[];
    version(): HolderNumber;
    /** Whether this VM has had any list. */
    isKnown(): boolean;
    /** Creates the update for a VM that has a version of the list, or of its part for one availability zone. */
    createUpdate(knownVersion: HolderNumber, availabilityZone?: string): VmListUpdate | undefined;
    /** Applies an update from the holder or from a relay; returns false and changes nothing if it is older. */
    applyUpdate(update: VmListUpdate): boolean;
    /** Records that the sender of the last update still has this list. */
    refresh(): void;
    /** Whether all VMs that may still be alive, and at least two, had contact with the holder within this time. */
    isHolderInContactWithAll(milliseconds: number): boolean;
    /** Time of the last call of a VM to this one; undefined without any. */
    lastContactAt(name: string): number | undefined;
}
