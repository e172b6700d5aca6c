import type { World } from "@cucumber/cucumber";
import type { RunningLoad } from "../../src/site/types/RunningLoad.js";
import type { Site } from "../../src/site/types/Site.js";
import type { SiteEndpoint } from "../../src/site/types/SiteEndpoint.js";

/** What the steps of one scenario share. */
export interface Scene extends World {
    site: Site;
    load: RunningLoad;
    /** The term in force before the last fault. */
    termBefore: number;
    /** The endpoint that the last fault concerns. */
    endpoint: SiteEndpoint;
    /** Name of the process that the last step stopped. */
    stopped: string;
    /** What each operator's command printed, or its failure. */
    operatorOutputs: string[];
}
