import { z } from "zod";

/**
 * Schema of an object as the store sends it.
 *
 * @example
 * const { meta, spec } = storedObjectSchema.parse(answer);
 */
export const storedObjectSchema = z.object({
    meta: z.object({ name: z.string(), revision: z.number(), createRev: z.number().optional() }),
    spec: z.unknown(),
});
