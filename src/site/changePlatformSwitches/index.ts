import type { PlatformSwitches } from "../../standIns/platform/types/PlatformSwitches.js";
import { sendAdminCall } from "../sendAdminCall/index.js";
import type { SitePlan } from "../types/SitePlan.js";

/**
 * Sets faults of the platform stand-in.
 *
 * @param plan The site.
 * @param switches The switches to change; the others remain unchanged.
 *
 * @example
 * await changePlatformSwitches(site.plan, { outage: OutageKind.Hanging });
 */
export async function changePlatformSwitches(plan: SitePlan, switches: Partial<PlatformSwitches>): Promise<void> {
    await sendAdminCall(plan.platformAdmin, "/admin/switches", { method: "PATCH", body: switches });
}
