import type { LinkChange } from "../../standIns/platform/types/LinkChange.js";
import { sendAdminCall } from "../sendAdminCall/index.js";
import type { SitePlan } from "../types/SitePlan.js";

/**
 * Changes links of the emulated network.
 *
 * @param plan The site.
 * @param changes The changes.
 *
 * @example
 * await changeNetwork(site.plan, [{ from: "ga-north-1", to: "ga-south-1", isCut: true }]);
 */
export async function changeNetwork(plan: SitePlan, changes: readonly LinkChange[]): Promise<void> {
    await sendAdminCall(plan.platformAdmin, "/admin/network", { method: "PATCH", body: changes });
}
