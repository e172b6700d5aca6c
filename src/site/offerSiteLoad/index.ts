import { offerLoad } from "../../load/offerLoad/index.js";
import type { CauseFaults } from "../../load/types/CauseFaults.js";
import type { LoadOutcome } from "../../load/types/LoadOutcome.js";
import type { LoadPlan } from "../../load/types/LoadPlan.js";
import { readEndpointStates } from "../readEndpointStates/index.js";
import type { Site } from "../types/Site.js";

/**
 * Offers load to a site and checks the history against the logs of its endpoints.
 *
 * @param site The running site.
 * @param plan The load.
 * @param causeFaults Causes faults while the load runs.
 * @returns The run, its measurements and the verdict on its history.
 *
 * @example
 * const outcome = await offerSiteLoad(site, plan, mark => killPrimary(site.plan, "stock", mark));
 */
export function offerSiteLoad(site: Site, plan: LoadPlan, causeFaults?: CauseFaults): Promise<LoadOutcome> {
    const { callerDelayMilliseconds } = site.plan.description;
    return offerLoad(site.target, { ...plan, callerDelayMilliseconds }, {
        causeFaults,
        readEndpointStates: database => readEndpointStates(site.plan, database),
    });
}
