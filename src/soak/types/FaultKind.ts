/** Faults that the soak test injects from outside the processes under test. */
export enum FaultKind {
    /** The process of a VM is paused and resumed later. */
    VmPaused = "VmPaused",
    /** The process of a VM is killed, and restarted later. */
    VmKilled = "VmKilled",
    /** The process of a VM is stopped gracefully, and restarted later. */
    VmStopped = "VmStopped",
    /** A VM rereads its settings file. */
    VmReloaded = "VmReloaded",
    /** The connections of callers to a VM are reset. */
    CallersReset = "CallersReset",
    CallersDelayed = "CallersDelayed",
    /** The link between a VM and the store is cut in both directions. */
    StoreCut = "StoreCut",
    /** Answers of the store do not reach a VM. */
    StoreCutOneWay = "StoreCutOneWay",
    StoreDelayed = "StoreDelayed",
    StoreBusy = "StoreBusy",
    StoreSilent = "StoreSilent",
    /** The store applies writes without answering them. */
    StoreLosingAnswers = "StoreLosingAnswers",
    /** The store compacts its history of changes. */
    StoreCompacted = "StoreCompacted",
    /** The store is away, and is restored from a copy some seconds old. */
    StoreRestored = "StoreRestored",
    /** An endpoint is killed, and restarted later with its log. */
    EndpointKilled = "EndpointKilled",
    EndpointSilent = "EndpointSilent",
    /** An endpoint cannot reach the other endpoints. */
    EndpointIsolated = "EndpointIsolated",
    EndpointLagging = "EndpointLagging",
    EndpointLosingAnswers = "EndpointLosingAnswers",
    EndpointBusy = "EndpointBusy",
    EndpointLinkReset = "EndpointLinkReset",
    EndpointLinkDelayed = "EndpointLinkDelayed",
    /** Answers of an endpoint do not reach the VMs. */
    EndpointLinkCutOneWay = "EndpointLinkCutOneWay",
    ConfigurationChanged = "ConfigurationChanged",
}
