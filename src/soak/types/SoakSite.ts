import type { PlatformStandIn } from "../../platform/standIns/types/PlatformStandIn.js";
import type { StandInWorkspace } from "../../platform/standIns/types/StandInWorkspace.js";
import type { FaultyProxy } from "./FaultyProxy.js";
import type { SoakVm } from "./SoakVm.js";

/** The site of a soak test: the platform stand-in, the VMs and the links. */
export interface SoakSite {
    readonly platform: PlatformStandIn;
    readonly vms: readonly SoakVm[];
    /** Left out when callers need no key. */
    readonly workspaces?: readonly StandInWorkspace[];
    /** The links to the endpoints, in the order of the platform's endpoints. */
    readonly endpointLinks: readonly FaultyProxy[];
    /** Writes the next version of the configuration. */
    changeConfiguration(): void;
    stop(): Promise<void>;
}
