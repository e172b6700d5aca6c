import { z } from "zod";
import type { LoadTarget } from "../types/LoadTarget.js";

const name = z.string().min(1);

/**
 * Schema of the file that names the installation to offer load to.
 *
 * @example
 * const target = readSettings("target.jsonc", loadTargetSchema);
 */
export const loadTargetSchema = z.strictObject({
    entries: z.array(z.strictObject({
        name,
        host: name,
        port: z.number().int().min(1).max(65_535),
        region: name,
        availabilityZone: name,
    })).min(1),
    callers: z.array(z.strictObject({ name, key: name })).min(1),
    databases: z.array(name).min(1),
}) satisfies z.ZodType<LoadTarget>;
