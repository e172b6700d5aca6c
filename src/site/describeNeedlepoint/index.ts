import type { SiteDescription } from "../types/SiteDescription.js";

/**
 * Describes the current Needlepoint site: two regions, 8 VMs, 3 databases of 3 endpoints.
 *
 * @param seed Seed of all randomness.
 * @returns The description.
 *
 * @example
 * const site = await startSite(describeNeedlepoint(7));
 */
export function describeNeedlepoint(seed: number): SiteDescription {
    return {
        seed,
        regions: [
            {
                name: "ga-north",
                availabilityZones: [{ name: "ga-north-1", vmCount: 3 }, { name: "ga-north-2", vmCount: 3 }],
            },
            { name: "ga-south", availabilityZones: [{ name: "ga-south-1", vmCount: 2 }] },
        ],
        zoneDelayMilliseconds: 1.5,
        regionDelayMilliseconds: 30,
        callerDelayMilliseconds: 1,
        databases: ["catalog-1", "catalog-2", "catalog-3"],
        callers: ["shopper", "dealer-1", "dealer-2"],
        slots: 3,
        connectionLimit: 20,
        connectMilliseconds: 10,
        serviceMilliseconds: 2,
    };
}
