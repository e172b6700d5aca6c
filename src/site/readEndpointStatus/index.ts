import { z } from "zod";
import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import { sendAdminCall } from "../sendAdminCall/index.js";
import type { SiteEndpoint } from "../types/SiteEndpoint.js";

const statusSchema = z.object({
    endpoint: z.string(),
    database: z.string(),
    role: z.enum(EndpointRole),
    term: z.number(),
    fencedTerm: z.number(),
    position: z.number(),
    lastEntryTerm: z.number(),
    isLeaving: z.boolean(),
    primarySilenceMilliseconds: z.number().optional(),
});

/**
 * Reads the status of an endpoint through its admin interface, which emulated faults do not affect.
 *
 * @param endpoint The endpoint.
 * @returns Its status.
 *
 * @example
 * const { position } = await readEndpointStatus(endpoint);
 */
export async function readEndpointStatus(endpoint: SiteEndpoint): Promise<EndpointStatus> {
    return statusSchema.parse(await sendAdminCall(endpoint.admin, "/status"));
}
