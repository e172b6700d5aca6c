import type { CandidateVm } from "./CandidateVm.js";

/** The VMs of one availability zone that hold connections to endpoints. */
export interface HostPool<Vm extends CandidateVm> {
    readonly vms: readonly Vm[];
    /** Whether these are all VMs of the zone; then each holds connections to every group. */
    readonly isWholeZone: boolean;
}
