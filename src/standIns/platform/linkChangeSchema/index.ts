import { z } from "zod";

/**
 * Schema of a change of an emulated link, in settings and in requests to the admin interface.
 *
 * @example
 * network.change(linkChangeSchema.parse({ from: "a", to: "b", isCut: true }));
 */
export const linkChangeSchema = z.strictObject({
    from: z.string(),
    to: z.string(),
    delayMilliseconds: z.number().min(0).optional(),
    isCut: z.boolean().optional(),
    isSilenced: z.boolean().optional(),
    isOneWay: z.boolean().optional(),
});
