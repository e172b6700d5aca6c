import type { createCallCounts } from "../createCallCounts/index.js";
import type { createVmList } from "../createVmList/index.js";
import type { ObjectStore } from "./ObjectStore.js";
import type { PlatformSwitches } from "./PlatformSwitches.js";

/** The parts of the platform stand-in. */
export interface PlatformCore {
    readonly store: ObjectStore;
    readonly vms: ReturnType<typeof createVmList>;
    readonly counts: ReturnType<typeof createCallCounts>;
    /** Replaced as a whole by the administrator. */
    switches: PlatformSwitches;
    /** Called after the switches were replaced. */
    readonly switchListeners: Set<() => void>;
}
