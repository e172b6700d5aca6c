import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import { siteConstants } from "../constants.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { SitePlan } from "../types/SitePlan.js";
import { waitForValue } from "../waitForValue/index.js";

/**
 * Waits until a database has a primary that enough replicas follow in its term.
 *
 * @param plan The site.
 * @param database The database.
 * @param followerCount Minimum number of replicas.
 * @returns The term of the primary.
 * @throws TarragonpostError of kind `DeadlineExceeded` when the replicas do not follow in time.
 *
 * @example
 * const term = await waitForFollowers(site.plan, "stock", 2);
 */
export function waitForFollowers(plan: SitePlan, database: string, followerCount: number): Promise<number> {
    const endpoints = plan.endpoints.filter(endpoint => endpoint.database === database);
    return waitForValue(
        `${followerCount} replicas to follow the primary of ${database}`,
        siteConstants.primariesTimeoutMilliseconds,
        async () => {
            const statuses = await Promise.all(endpoints.map(readEndpointStatus));
            const term = Math.max(...statuses.map(status => status.term));
            const countInTerm = (role: EndpointRole): number =>
                statuses.filter(status => status.role === role && status.term === term).length;
            return countInTerm(EndpointRole.Primary) === 1 && countInTerm(EndpointRole.Replica) >= followerCount
                ? term
                : undefined;
        },
    );
}
