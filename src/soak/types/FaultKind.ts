/** Faults that the soak injects from outside the programs. */
export enum FaultKind {
    /** A VM's process is paused and goes on later. */
    VmPaused = "VmPaused",
    /** It is killed, and started again later. */
    VmKilled = "VmKilled",
    /** It is told to stop, and started again once it has. */
    VmStopped = "VmStopped",
    /** Its settings file is read again. */
    VmReloaded = "VmReloaded",
    /** Callers' connections to a VM are reset. */
    CallersReset = "CallersReset",
    CallersDelayed = "CallersDelayed",
    /** A VM does not reach the store. */
    StoreCut = "StoreCut",
    /** What the store answers does not reach a VM. */
    StoreCutOneWay = "StoreCutOneWay",
    StoreDelayed = "StoreDelayed",
    StoreBusy = "StoreBusy",
    StoreSilent = "StoreSilent",
    /** Writes are done and not answered. */
    StoreLosingAnswers = "StoreLosingAnswers",
    /** The store forgets its history. */
    StoreCompacted = "StoreCompacted",
    /** An endpoint dies, and comes back with its log. */
    EndpointKilled = "EndpointKilled",
    EndpointSilent = "EndpointSilent",
    /** An endpoint does not reach the others. */
    EndpointIsolated = "EndpointIsolated",
    EndpointLagging = "EndpointLagging",
    EndpointLosingAnswers = "EndpointLosingAnswers",
    EndpointBusy = "EndpointBusy",
    EndpointLinkReset = "EndpointLinkReset",
    EndpointLinkDelayed = "EndpointLinkDelayed",
    /** What an endpoint answers does not arrive. */
    EndpointLinkCutOneWay = "EndpointLinkCutOneWay",
    ConfigurationChanged = "ConfigurationChanged",
}
