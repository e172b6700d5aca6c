import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import type { VmIdentity } from "./VmIdentity.js";

/** The VMs whose renewals this VM answers in place of the holder of the failover duty. */
export interface RelayedMembers {
    /** Records a renewal of a VM, and the version of the store up to which it knows the endpoints. */
    recordContact(vm: VmIdentity, endpointVersion: StoreVersion): void;
    /** Removes a VM that is stopping. */
    remove(name: string): void;
    /** The members with recent contact; undefined when the holder with this token already has this list. */
    listUnreported(token: number): readonly VmIdentity[] | undefined;
    /**
     * Version of the store up to which all VMs know the endpoints that may rely on renewals which this VM answered;
     * undefined without any.
     */
    findCommonVersion(): StoreVersion | undefined;
    /** Records that the holder with this token received the list that was returned last. */
    confirm(token: number): void;
}
