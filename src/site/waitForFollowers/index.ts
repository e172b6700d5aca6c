import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import { siteConstants } from "../constants.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { SitePlan } from "../types/SitePlan.js";
import { waitUntil } from "../waitUntil/index.js";

/**
 * Waits until a database has a primary that a number of replicas follow in its term.
 *
 * @param plan The site.
 * @param database The database.
 * @param followerCount How many replicas at least.
 * @returns The term of the primary.
 * @throws TarragonpostError of kind `DeadlineExceeded`.
 *
 * @example
 * const term = await waitForFollowers(site.plan, "stock", 2);
 */
export function waitForFollowers(plan: SitePlan, database: string, followerCount: number): Promise<number> {
    const endpoints = plan.endpoints.filter(endpoint => endpoint.database === database);
    return waitUntil(
        `${followerCount} replicas to follow the primary of ${database}`,
        siteConstants.primariesTimeoutMilliseconds,
        async () => {
            const statuses = await Promise.all(endpoints.map(readEndpointStatus));
            const term = Math.max(...statuses.map(status => status.term));
            const ofTerm = (role: EndpointRole): number =>
                statuses.filter(status => status.role === role && status.term === term).length;
            return ofTerm(EndpointRole.Primary) === 1 && ofTerm(EndpointRole.Replica) >= followerCount
                ? term
                : undefined;
        },
    );
}
