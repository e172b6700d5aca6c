import { z } from "zod";
import { quotaConstants } from "./constants.js";

const amount = z.number().min(0);

/** Schema of the demands that a renewal carries. */
export const quotaDemandsSchema = z.object({
    request: z.number().int(),
    granter: z.string().optional(),
    appliedNumber: z.number().int(),
    areGrantsReported: z.boolean(),
    demands: z.array(z.object({
        workspace: z.string(),
        operationsPerSecond: amount,
        waitingOperations: amount,
        heldOperations: amount,
        grant: z.object({
            operationsPerSecond: amount,
            maximumOperations: amount,
            quota: z.object({ operationsPerSecond: amount, burstOperations: amount }),
        }).optional(),
    })).max(quotaConstants.maximumDemands),
});
