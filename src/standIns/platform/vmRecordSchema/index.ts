import { z } from "zod";
import { VmState } from "../../../objectStore/types/VmState.js";

/**
 * One row of the platform's list of VMs, in settings and for the administrator.
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
