import { z } from "zod";
import { processSettingsSchema } from "../../settings/processSettingsSchema/index.js";

/**
 * Schema of the settings file of the operator's command.
 *
 * @example
 * const settings = readSettings("operator.jsonc", operatorSettingsSchema);
 */
export const operatorSettingsSchema = z.strictObject({
    gateways: z.array(processSettingsSchema.shape.platform.partial({ availabilityZone: true })).min(1),
    peerSecret: processSettingsSchema.shape.peerSecret,
});
