/** Kinds of faults that are drawn in a simulation. */
export enum FleetFaultKind {
    /** The links between some VMs and the others are cut, in one direction or both. */
    VmPartition = "VmPartition",
    /** Some VMs are cut off from the other VMs and the store, and reach the endpoints; mostly an endpoint starts meanwhile. */
    VmIsolation = "VmIsolation",
    /** The links between some VMs and an endpoint are cut. */
    EndpointCut = "EndpointCut",
    /** All VMs but one are cut off from an endpoint, and calls to that VM are lost. */
    HiddenPrimary = "HiddenPrimary",
    /** An endpoint is cut off from the other endpoints of its group. */
    ReplicationCut = "ReplicationCut",
    /** An endpoint is cut off from the store. */
    RegistrationCut = "RegistrationCut",
    /** The links between some VMs and the store are cut. */
    StoreCut = "StoreCut",
    /** The store refuses some VMs. */
    StoreRefusal = "StoreRefusal",
    /** The store refuses all calls. */
    StoreOutage = "StoreOutage",
    /** The store is restored from a copy some seconds old, after an outage. */
    StoreRestore = "StoreRestore",
    /** Some calls between VMs, or their answers, are lost or late. */
    FaultyCalls = "FaultyCalls",
    /** Some calls of VMs to the store are lost or executed late, or their answers are lost. */
    FaultyStoreCalls = "FaultyStoreCalls",
    /** All calls from and to some VMs are late. */
    SlowLinks = "SlowLinks",
    /** Orders to promote arrive late, or their answers are lost. */
    FaultyOrders = "FaultyOrders",
    /** Some VMs are killed and start again. */
    VmRestart = "VmRestart",
    /** The processes of some VMs, often of the holder of the failover duty, are suspended. */
    VmSuspension = "VmSuspension",
    /** The holder of the failover duty is killed and starts again. */
    HolderRestart = "HolderRestart",
    /** Some VMs, often the holder of the failover duty first, are stopped one after the other and start again. */
    VmStop = "VmStop",
    /** An endpoint is killed and starts again with its log. */
    EndpointCrash = "EndpointCrash",
    /** A replica is killed and starts again without its log. */
    EndpointReset = "EndpointReset",
    /** An endpoint reports that it is leaving, ends, and starts again. */
    EndpointLeaving = "EndpointLeaving",
}
