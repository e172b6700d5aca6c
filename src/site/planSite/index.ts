import type { Address } from "../../network/types/Address.js";
import { siteConstants } from "../constants.js";
import { reservePorts } from "../reservePorts/index.js";
import type { SiteDescription } from "../types/SiteDescription.js";
import type { SiteEndpoint } from "../types/SiteEndpoint.js";
import type { SitePlan } from "../types/SitePlan.js";
import type { SiteVm } from "../types/SiteVm.js";

/** Ports of the platform stand-in: service, admin interface, emulated network. */
const platformPortCount = 3;
const portsPerProcess = 2;

/**
 * Assigns a name, an availability zone and reserved ports to every process of a site.
 *
 * @param description The site.
 * @returns The site with all its addresses.
 * @throws TarragonpostError of kind `Unexpected` when too few ports are free.
 *
 * @example
 * const plan = await planSite(describeSmallSite(7));
 */
export async function planSite(description: SiteDescription): Promise<SitePlan> {
    const zones = description.regions.flatMap(region =>
        region.availabilityZones.map(zone => ({ ...zone, region: region.name }))
    );
    const vmZones = zones.flatMap(zone => Array.from({ length: zone.vmCount }, () => zone));
    const endpointCount = zones.length * description.databases.length;
    const processCount = vmZones.length + endpointCount;
    const reservation = await reservePorts(platformPortCount + portsPerProcess * processCount);
    const ports = [...reservation.ports];

    function allocateAddress(availabilityZone: string): Address {
        return { host: siteConstants.host, port: ports.pop() ?? 0, availabilityZone };
    }

    const platformZone = zones[0]?.name ?? "";
    const endpoints = description.databases.flatMap(database =>
        zones.map((zone, index): SiteEndpoint => ({
            name: `${database}-${zone.name}-${index + 1}`,
            database,
            region: zone.region,
            address: allocateAddress(zone.name),
            admin: allocateAddress(zone.name),
        }))
    );
    const vms = vmZones.map((zone, index): SiteVm => ({
        name: `vm-${index + 1}`,
        region: zone.region,
        availabilityZone: zone.name,
        gateway: allocateAddress(zone.name),
        entry: allocateAddress(zone.name),
    }));
    return {
        description,
        reservation,
        platform: allocateAddress(platformZone),
        platformAdmin: allocateAddress(platformZone),
        network: allocateAddress(platformZone),
        endpoints,
        vms,
    };
}
