import { z } from "zod";
import { VmState } from "../../../objectStore/types/VmState.js";

/**
 * Schema of one VM in the platform's list of VMs, in settings and in requests to the admin interface.
 *
 * @example
 * const records = z.array(vmRecordSchema).parse(body);
 */
export const vmRecordSchema = z.strictObject({
    name: z.string(),
    host: z.string(),
    gatewayPort: z.number().int(),
    availabilityZone: z.string(),
    region: z.string(),
    state: z.enum(VmState),
});
