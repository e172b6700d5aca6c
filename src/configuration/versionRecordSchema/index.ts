import { z } from "zod";
import type { VersionRecord } from "../types/VersionRecord.js";

/**
 * Schema of a version record that was read from the store or received from a peer.
 *
 * @example
 * const record = versionRecordSchema.parse(object.value);
 */
export const versionRecordSchema = z.object({
    version: z.number().int().min(1),
    patch: z.record(z.string(), z.unknown()),
    patchId: z.string().min(1),
    digest: z.string().length(64),
    author: z.string(),
    wallMilliseconds: z.number(),
}) satisfies z.ZodType<VersionRecord>;
