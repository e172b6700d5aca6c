import type { World } from "@cucumber/cucumber";
import type { RunningLoad } from "../../src/site/types/RunningLoad.js";
import type { Site } from "../../src/site/types/Site.js";
import type { SiteEndpoint } from "../../src/site/types/SiteEndpoint.js";

/** State that the steps of one scenario share. */
export interface Scene extends World {
    site: Site;
    load: RunningLoad;
    /** The term in force before the last fault. */
    termBefore: number;
    /** The primary before the last fault. */
    endpoint: SiteEndpoint;
    /** Name of the process that last received a signal from a step. */
    stopped: string;
    /** Output of each operator's command, or its failure. */
    operatorOutputs: string[];
}
