import { z } from "zod";

const host = z.string().min(1);
const port = z.number().int().max(65_535);
const address = z.strictObject({ host, port: port.min(1), availabilityZone: z.string().min(1) });

/**
 * Schema of the settings common to entries and gateways; their schemas extend it.
 *
 * @example
 * const schema = processSettingsSchema.extend({ seedGateways: z.array(processSettingsSchema.shape.platform) });
 */
export const processSettingsSchema = z.strictObject({
    name: z.string().regex(/^[\w.-]+$/, "expected letters, digits, dots, hyphens or underscores"),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
    listen: z.strictObject({ host, port: port.min(0) }),
    peerSecret: z.string().min(16, "expected at least 16 characters"),
    emulatedNetwork: z.strictObject({ host, port: port.min(1) }).optional(),
    randomSeed: z.number().int().min(0).optional(),
    logTopics: z.string().optional(),
    platform: address,
});
