import { z } from "zod";

/**
 * Schema of an object in the store's answers.
 *
 * @example
 * const { meta, spec } = storedObjectSchema.parse(answer);
 */
export const storedObjectSchema = z.object({
    meta: z.object({ name: z.string(), revision: z.number(), createRev: z.number().optional() }),
    spec: z.unknown(),
});
