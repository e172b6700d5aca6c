import type { World } from "@cucumber/cucumber";
import type { RunningLoad } from "../../src/site/types/RunningLoad.js";
import type { Site } from "../../src/site/types/Site.js";
import type { SiteEndpoint } from "../../src/site/types/SiteEndpoint.js";

/** State that the steps of one scenario share. */
export interface ScenarioWorld extends World {
    site: Site;
    load: RunningLoad;
    /** The term in force before the last fault. */
    termBeforeFault: number;
    /** The primary before the last fault. */
    primaryBeforeFault: SiteEndpoint;
    /** Name of the process that last received a signal from a step. */
    signaledProcessName: string;
    /** Output of each operator's command, or its failure. */
    operatorOutputs: string[];
}
