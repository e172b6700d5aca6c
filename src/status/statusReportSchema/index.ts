import { z } from "zod";
import { PeerState } from "../../membership/types/PeerState.js";
import { ProcessKind } from "../types/ProcessKind.js";
import type { StatusReport } from "../types/StatusReport.js";

const count = z.number().int().min(0);
const gateway = z.object({
    name: z.string(),
    host: z.string(),
    port: z.number(),
    availabilityZone: z.string(),
    region: z.string(),
    state: z.enum(PeerState),
    incarnation: z.number(),
});
const group = z.object({
    database: z.string(),
    term: count,
    primary: z.string(),
    coordinator: z.string().optional(),
});

/**
 * Schema of a status report that an entry pushed.
 *
 * @example
 * const report = statusReportSchema.parse(input);
 */
export const statusReportSchema = z.object({
    process: z.string(),
    kind: z.enum(ProcessKind),
    availabilityZone: z.string(),
    isStopping: z.boolean(),
    version: count,
    gateways: z.array(gateway).readonly(),
    groups: z.array(group).readonly(),
    leavingEndpoints: z.array(z.string()).readonly(),
    failoverGaps: z.array(z.object({ database: z.string(), milliseconds: z.number() })).readonly(),
    replicaReads: count,
    primaryReads: count,
}) satisfies z.ZodType<StatusReport>;
