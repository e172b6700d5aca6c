import type { EndpointSwitches } from "../../standIns/endpoint/types/EndpointSwitches.js";
import { sendAdminCall } from "../sendAdminCall/index.js";
import type { SiteEndpoint } from "../types/SiteEndpoint.js";

/**
 * Sets faults and conditions of an endpoint stand-in.
 *
 * @param endpoint The endpoint.
 * @param switches The switches to change; the others remain unchanged.
 *
 * @example
 * await changeEndpointSwitches(endpoint, { isKilled: true });
 */
export async function changeEndpointSwitches(
    endpoint: SiteEndpoint,
    switches: Partial<EndpointSwitches>,
): Promise<void> {
    await sendAdminCall(endpoint.admin, "/switches", { method: "PATCH", body: switches });
}
