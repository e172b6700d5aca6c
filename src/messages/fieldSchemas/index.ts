import { z } from "zod";

const maximumNameLength = 256;
const maximumRequestKeyLength = 1_024;
const maximumMilliseconds = 600_000;

/** Schemas of the fields that several messages between processes have in common. */
export const fieldSchemas = {
    /** A request key as endpoints record it, with the caller's name. */
    requestKey: z.string().min(1).max(maximumRequestKeyLength),
    name: z.string().min(1).max(maximumNameLength),
    counter: z.number().int().nonnegative(),
    milliseconds: z.number().nonnegative().max(maximumMilliseconds),
} as const;
