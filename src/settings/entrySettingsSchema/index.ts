import { z } from "zod";
import { ReadPolicy } from "../../routing/types/ReadPolicy.js";
import { processSettingsSchema } from "../processSettingsSchema/index.js";
import type { EntrySettings } from "../types/EntrySettings.js";

/**
 * Schema of an entry's settings.
 *
 * @example
 * const settings = readSettings("entry.jsonc", entrySettingsSchema);
 */
export const entrySettingsSchema = processSettingsSchema.extend({
    localGateway: processSettingsSchema.shape.platform,
    otherGateways: z.array(processSettingsSchema.shape.platform).default([]),
    readPolicy: z.enum(ReadPolicy).default(ReadPolicy.BoundedWaitWithPrediction),
}) satisfies z.ZodType<EntrySettings>;
