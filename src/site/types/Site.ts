import type { LoadTarget } from "../../load/types/LoadTarget.js";
import type { SitePlan } from "./SitePlan.js";
import type { SiteProcess } from "./SiteProcess.js";

/** A running site. */
export interface Site {
    readonly plan: SitePlan;
    readonly target: LoadTarget;
    readonly folder: string;
    /** Programs that ended by themselves with a failure, with the last of their output. */
    readonly unexpectedEnds: readonly string[];
    /** By name: `platform`, an endpoint's name, `vm-1-gateway`, `vm-1-entry`. */
    process(name: string): SiteProcess;
    /** Starts a program of the site again, with the same settings. */
    restart(name: string): Promise<void>;
    /** Ends every process by its id and removes the settings. */
    stop(): Promise<void>;
}
