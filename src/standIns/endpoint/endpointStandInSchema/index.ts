import { z } from "zod";
import { listenSchema } from "../../listenSchema/index.js";

/**
 * Schema of an endpoint stand-in's settings file, with defaults.
 *
 * @example
 * const settings = readSettings("stock-1.jsonc", endpointStandInSchema);
 */
export const endpointStandInSchema = z.strictObject({
    name: z.string().min(1),
    database: z.string().min(1),
    availabilityZone: z.string().min(1),
    listen: listenSchema,
    admin: listenSchema,
    peers: z.record(z.string(), listenSchema.extend({ availabilityZone: z.string() })),
    slots: z.number().int().min(1).default(3),
    connectionLimit: z.number().int().min(1).default(20),
    connectMilliseconds: z.number().min(0).default(10),
    serviceMilliseconds: z.number().min(0).default(2),
    serviceJitterShare: z.number().min(0).max(1).default(0.5),
    randomSeed: z.number().int().default(1),
    emulatedNetwork: listenSchema.optional(),
});
