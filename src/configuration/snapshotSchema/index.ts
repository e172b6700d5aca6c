import { z } from "zod";
import { systemConfigurationSchema } from "../systemConfigurationSchema/index.js";
import type { ConfigurationSnapshot } from "../types/ConfigurationSnapshot.js";

/**
 * Schema of a snapshot that was read from the store or received from a peer.
 *
 * @example
 * const snapshot = snapshotSchema.parse(JSON.parse(parts.join("")));
 */
export const snapshotSchema = z.object({
    version: z.number().int().min(0),
    document: systemConfigurationSchema,
    digest: z.string().length(64),
    patchIds: z.array(z.tuple([z.string(), z.number()])),
}) satisfies z.ZodType<ConfigurationSnapshot>;
