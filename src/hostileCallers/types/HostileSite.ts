import type { PlatformStandIn } from "../../platform/standIns/types/PlatformStandIn.js";
import type { SoakVm } from "../../soak/types/SoakVm.js";
import type { ProcessWatch } from "./ProcessWatch.js";

/** One VM with lowered limits, and the platform's stand-in. */
export interface HostileSite {
    readonly platform: PlatformStandIn;
    readonly vm: SoakVm;
    readonly watch: ProcessWatch;
    stop(): Promise<void>;
}
