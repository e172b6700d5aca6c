import { z } from "zod";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";

const name = z.string().regex(/^[\w.-]{1,64}$/, "expected 1 to 64 letters, digits, dots, hyphens or underscores");
const count = z.number().int().min(1);

const endpoint = z.strictObject({
    host: z.string().min(1),
    port: z.number().int().min(1).max(65_535),
    availabilityZone: z.string().min(1),
    region: z.string().min(1),
    slots: count.max(10_000),
    connectionLimit: count.max(100_000),
});

const database = z.strictObject({
    endpoints: z.record(name, endpoint).refine(endpoints => Object.keys(endpoints).length > 0, "expected an endpoint"),
    initialPrimary: name,
}).refine(
    ({ endpoints, initialPrimary }) => Object.hasOwn(endpoints, initialPrimary),
    { path: ["initialPrimary"], message: "expected the name of one of the database's endpoints" },
);

const caller = z.strictObject({
    keyDigest: z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 digest of 64 hexadecimal digits"),
    databases: z.array(name),
});

const limits = z.strictObject({
    requestBytes: count.max(8_388_608),
    defaultDeadlineMilliseconds: count.max(600_000),
    replicaWaitMilliseconds: z.number().int().min(0).max(60_000),
    queueLengthPerEndpoint: count.max(100_000),
    retryBudgetShare: z.number().min(0).max(1),
    ownerConnectionShare: z.number().gt(0).max(1),
    regionLinkBytesPerSecond: count,
}).partial();

/**
 * Schema of the document that results from the patches of all versions.
 *
 * @example
 * const outcome = systemConfigurationSchema.safeParse({ limits: { requestBytes: 1_000 } });
 */
export const systemConfigurationSchema = z.strictObject({
    databases: z.record(name, database).optional(),
    callers: z.record(name, caller).optional(),
    limits: limits.optional(),
    tokenSecret: z.string().min(16, "expected at least 16 characters").optional(),
}) satisfies z.ZodType<ConfigurationDocument>;
