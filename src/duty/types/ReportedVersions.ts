import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import type { VmIdentity } from "./VmIdentity.js";

/** What VMs reported of their directories to the holder of the failover duty. */
export interface ReportedVersions {
    /** Begins anew for a holder that replaces another one, to which VMs may have reported until now. */
    startHolding(): void;
    /**
     * Records a report of a VM: up to which version of the store it knows the endpoints, and up to which all VMs do whose
     * renewals it answers, if there are any.
     */
    record(vm: VmIdentity, version: StoreVersion, membersVersion: StoreVersion | undefined): void;
    /**
     * Version of the store up to which each VM that reported, and may verify a primary by itself, knows the endpoints, and
     * this VM if its own version is given; undefined while that is not known, or without any VM.
     */
    findCommonVersion(ownVersion?: StoreVersion): StoreVersion | undefined;
}
