import { z } from "zod";
import { processSettingsSchema } from "../processSettingsSchema/index.js";
import type { GatewaySettings } from "../types/GatewaySettings.js";

/**
 * Schema of a gateway's settings.
 *
 * @example
 * const settings = readSettings("gateway.jsonc", gatewaySettingsSchema);
 */
export const gatewaySettingsSchema = processSettingsSchema.extend({
    seedGateways: z.array(processSettingsSchema.shape.platform).default([]),
}) satisfies z.ZodType<GatewaySettings>;
