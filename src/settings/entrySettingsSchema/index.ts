import { z } from "zod";
import { callerConstants } from "../../callers/constants.js";
import { ReadPolicy } from "../../routing/types/ReadPolicy.js";
import { processSettingsSchema } from "../processSettingsSchema/index.js";
import type { EntrySettings } from "../types/EntrySettings.js";

const callerLimits = z.strictObject({
    connections: z.int()
        .min(callerConstants.leastConnections)
        .max(callerConstants.mostConnections)
        .default(callerConstants.defaultConnections),
    bodyBytes: z.int()
        .min(callerConstants.leastBodyBytes)
        .max(callerConstants.mostBodyBytes)
        .default(callerConstants.defaultBodyBytes),
    requestMilliseconds: z.int()
        .min(callerConstants.leastRequestMilliseconds)
        .max(callerConstants.mostRequestMilliseconds)
        .default(callerConstants.defaultRequestMilliseconds),
});

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
    callerLimits: callerLimits.default(callerLimits.parse({})),
}) satisfies z.ZodType<EntrySettings>;
