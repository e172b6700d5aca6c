import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { SiteEndpoint } from "../types/SiteEndpoint.js";
import type { SitePlan } from "../types/SitePlan.js";

/**
 * Finds the primary of a database's highest term, if at least one replica follows it.
 *
 * @param plan The site.
 * @param database The database.
 * @returns The endpoint; undefined while no primary has a follower.
 *
 * @example
 * const primary = await findPrimary(site.plan, "stock");
 */
export async function findPrimary(plan: SitePlan, database: string): Promise<SiteEndpoint | undefined> {
    const endpoints = plan.endpoints.filter(endpoint => endpoint.database === database);
    const statuses = await Promise.all(endpoints.map(readEndpointStatus));
    const term = Math.max(...statuses.map(status => status.term));
    const followers = statuses.filter(status => status.role === EndpointRole.Replica && status.term === term);
    const index = statuses.findIndex(status => status.role === EndpointRole.Primary && status.term === term);
    return followers.length > 0 ? endpoints[index] : undefined;
}
