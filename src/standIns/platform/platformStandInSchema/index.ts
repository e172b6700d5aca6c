import { z } from "zod";
import { listenSchema } from "../../listenSchema/index.js";
import { linkChangeSchema } from "../linkChangeSchema/index.js";
import { vmRecordSchema } from "../vmRecordSchema/index.js";

/**
 * Schema of the platform stand-in's settings file, with defaults.
 *
 * @example
 * const settings = readSettings("platform.jsonc", platformStandInSchema);
 */
export const platformStandInSchema = z.strictObject({
    name: z.string().min(1).default("platform"),
    listen: listenSchema,
    admin: listenSchema,
    network: listenSchema,
    links: z.array(linkChangeSchema).default([]),
    vms: z.array(vmRecordSchema).default([]),
    vmListLagMilliseconds: z.number().min(0).default(0),
});
