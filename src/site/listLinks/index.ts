import type { LinkChange } from "../../standIns/platform/types/LinkChange.js";
import type { SiteDescription } from "../types/SiteDescription.js";

/**
 * Lists the emulated links between a site's availability zones.
 *
 * @param description The site.
 * @returns One link, valid in both directions, for each pair of availability zones.
 *
 * @example
 * const links = listLinks(describeNeedlepoint(7));
 */
export function listLinks(description: SiteDescription): LinkChange[] {
    const zones = description.regions.flatMap(region =>
        region.availabilityZones.map(zone => ({ name: zone.name, region: region.name }))
    );
    return zones.flatMap((from, index) =>
        zones.slice(index + 1).map(to => ({
            from: from.name,
            to: to.name,
            delayMilliseconds: from.region === to.region
                ? description.zoneDelayMilliseconds
                : description.regionDelayMilliseconds,
        }))
    );
}
