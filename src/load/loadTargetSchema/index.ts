import { z } from "zod";
import type { LoadTarget } from "../types/LoadTarget.js";

const nonEmptyString = z.string().min(1);

/**
 * Schema of the target file: entries, callers and databases of the installation to which load is offered.
 *
 * @example
 * const target = readSettings("target.jsonc", loadTargetSchema);
 */
export const loadTargetSchema = z.strictObject({
    entries: z.array(z.strictObject({
        name: nonEmptyString,
        host: nonEmptyString,
        port: z.number().int().min(1).max(65_535),
        region: nonEmptyString,
        availabilityZone: nonEmptyString,
    })).min(1),
    callers: z.array(z.strictObject({ name: nonEmptyString, key: nonEmptyString })).min(1),
    databases: z.array(nonEmptyString).min(1),
}) satisfies z.ZodType<LoadTarget>;
