import { z } from "zod";

/**
 * A change of the emulated network, in settings and for the administrator.
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
