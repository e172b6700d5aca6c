/** What a fault affects. */
export enum FaultScope {
    /** Planned work: every VM keeps its promises meanwhile. */
    Planned = "Planned",
    /** One VM, or its links. */
    Vm = "Vm",
    /** One endpoint, or its link. */
    Endpoint = "Endpoint",
    /** All VMs. */
    Site = "Site",
}
