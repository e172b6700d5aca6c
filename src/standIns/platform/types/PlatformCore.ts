import type { createCallCounts } from "../createCallCounts/index.js";
import type { createVmList } from "../createVmList/index.js";
import type { ObjectStore } from "./ObjectStore.js";
import type { PlatformSwitches } from "./PlatformSwitches.js";

/** The components that the interfaces of the platform stand-in share. */
export interface PlatformCore {
    readonly store: ObjectStore;
    readonly vms: ReturnType<typeof createVmList>;
    readonly counts: ReturnType<typeof createCallCounts>;
    /** Replaced as a whole by each change through the admin interface. */
    switches: PlatformSwitches;
    /** Called after the switches have been replaced. */
    readonly switchListeners: Set<() => void>;
}
