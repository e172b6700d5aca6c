import type { LoadPlan } from "../../load/types/LoadPlan.js";
import { offerSiteLoad } from "../offerSiteLoad/index.js";
import type { RunningLoad } from "../types/RunningLoad.js";
import type { Site } from "../types/Site.js";

/**
 * Starts load on a site that runs until `end` is called, for tests that cause faults step by step.
 *
 * @param site The running site.
 * @param plan The load; its duration is ignored.
 * @returns The running load.
 *
 * @example
 * const load = await startSiteLoad(site, defaultPlan);
 * const { verdict } = await load.end();
 */
export function startSiteLoad(site: Site, plan: LoadPlan): Promise<RunningLoad> {
    return new Promise((resolve, reject) => {
        let requestEnd = (): void => {};
        const endRequested = new Promise<void>(resolveEndRequested => {
            requestEnd = resolveEndRequested;
        });
        const outcome = offerSiteLoad(site, { ...plan, durationMilliseconds: 0 }, async (mark, operations) => {
            resolve({
                operations,
                mark,
                end: () => {
                    requestEnd();
                    return outcome;
                },
            });
            await endRequested;
        });
        outcome.catch(reject);
    });
}
