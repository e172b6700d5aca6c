import { changeNetwork } from "../changeNetwork/index.js";
import type { SitePlan } from "../types/SitePlan.js";

/**
 * Cuts an availability zone off from all others, or reconnects it.
 *
 * @param plan The site.
 * @param availabilityZone The zone.
 * @param isCut True to cut the zone off, false to reconnect it.
 *
 * @example
 * await cutZone(site.plan, "ga-north-1", true);
 */
export async function cutZone(plan: SitePlan, availabilityZone: string, isCut: boolean): Promise<void> {
    const zones = plan.description.regions.flatMap(region => region.availabilityZones.map(zone => zone.name));
    const others = zones.filter(zone => zone !== availabilityZone);
    await changeNetwork(plan, others.map(other => ({ from: availabilityZone, to: other, isCut })));
}
