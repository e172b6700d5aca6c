import type { LoadTarget } from "../../load/types/LoadTarget.js";
import type { SitePlan } from "./SitePlan.js";
import type { SiteProcess } from "./SiteProcess.js";

/** A running site. */
export interface Site {
    readonly plan: SitePlan;
    readonly target: LoadTarget;
    readonly folder: string;
    /** Processes that exited with a non-zero code, with the end of their output. */
    readonly unexpectedExits: readonly string[];
    /** Finds a process by its name: `platform`, an endpoint's name, `vm-1-gateway`, `vm-1-entry`. */
    findProcess(name: string): SiteProcess;
    /** Starts a program of the site again with the same settings. */
    restart(name: string): Promise<void>;
    /** Stops every process by its process id, removes the site's folder and releases its ports. */
    stop(): Promise<void>;
}
