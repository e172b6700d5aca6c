import { createHash } from "node:crypto";
import type { LoadTarget } from "../../load/types/LoadTarget.js";
import { siteConstants } from "../constants.js";
import type { SitePlan } from "../types/SitePlan.js";

/**
 * Creates the patch that becomes configuration version 1 of a site.
 *
 * @param plan The site.
 * @param target The callers and their keys.
 * @returns The patch.
 *
 * @example
 * await writeFile(file, JSON.stringify(createSiteConfiguration(plan, target)));
 */
export function createSiteConfiguration(plan: SitePlan, target: LoadTarget): object {
    const { description } = plan;
    const databases = description.databases.map((database, index) => {
        const endpoints = plan.endpoints.filter(endpoint => endpoint.database === database);
        const inFirstRegion = endpoints.filter(endpoint => endpoint.region === description.regions[0]?.name);
        const definitions = endpoints.map(({ name, address, region }) => [name, {
            ...address,
            region,
            slots: description.slots,
            connectionLimit: description.connectionLimit,
        }]);
        const initialPrimary = inFirstRegion[index % inFirstRegion.length]?.name;
        return [database, { endpoints: Object.fromEntries(definitions), initialPrimary }];
    });
    const callers = target.callers.map(({ name, key }) => [name, {
        keyDigest: createHash("sha256").update(key).digest("hex"),
        databases: description.databases,
    }]);
    return {
        databases: Object.fromEntries(databases),
        callers: Object.fromEntries(callers),
        limits: description.limits ?? {},
        tokenSecret: siteConstants.tokenSecret,
    };
}
