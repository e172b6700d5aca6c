import { describeNeedlepoint } from "../describeNeedlepoint/index.js";
import type { SiteDescription } from "../types/SiteDescription.js";

/**
 * Describes the current Clover Lane site: two regions, 8 VMs, 3 databases of 3 endpoints.
 *
 * @param seed Seed of all randomness.
 * @returns The description.
 *
 * @example
 * const site = await startSite(describeCloverLane(7));
 */
export function describeCloverLane(seed: number): SiteDescription {
    return {
        ...describeNeedlepoint(seed),
        regions: [
            {
                name: "eu-west",
                availabilityZones: [{ name: "eu-west-1", vmCount: 3 }, { name: "eu-west-2", vmCount: 3 }],
            },
            { name: "eu-central", availabilityZones: [{ name: "eu-central-1", vmCount: 2 }] },
        ],
        zoneDelayMilliseconds: 0.5,
        databases: ["orders", "stock", "deliveries"],
        callers: ["customers", "producers", "couriers"],
        connectionLimit: 40,
    };
}
