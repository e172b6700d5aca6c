import type { SiteDescription } from "../types/SiteDescription.js";

/**
 * Describes a small site for tests: one region of three availability zones, three VMs, one database.
 *
 * @param seed Seed of all randomness.
 * @returns The description.
 *
 * @example
 * const site = await startSite(describeSmallSite(7));
 */
export function describeSmallSite(seed: number): SiteDescription {
    const availabilityZones = ["1", "2", "3"].map(number => ({ name: `ga-north-${number}`, vmCount: 1 }));
    return {
        seed,
        regions: [{ name: "ga-north", availabilityZones }],
        zoneDelayMilliseconds: 1.5,
        regionDelayMilliseconds: 30,
        callerDelayMilliseconds: 0,
        databases: ["catalog-1"],
        callers: ["dealer-1", "dealer-2"],
        slots: 3,
        connectionLimit: 20,
        connectMilliseconds: 10,
        serviceMilliseconds: 2,
    };
}
