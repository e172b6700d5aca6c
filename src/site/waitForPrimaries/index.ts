import { siteConstants } from "../constants.js";
import { findPrimary } from "../findPrimary/index.js";
import type { SitePlan } from "../types/SitePlan.js";
import { waitForValue } from "../waitForValue/index.js";

/**
 * Waits until every database has a primary with a follower.
 *
 * @param plan The site.
 *
 * @example
 * await waitForPrimaries(site.plan);
 */
export async function waitForPrimaries(plan: SitePlan): Promise<void> {
    await Promise.all(plan.description.databases.map(database =>
        waitForValue(
            `a primary of ${database}`,
            siteConstants.primariesTimeoutMilliseconds,
            () => findPrimary(plan, database),
        )
    ));
}
