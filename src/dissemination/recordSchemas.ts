import { z } from "zod";
import { disseminationConstants } from "./constants.js";
import { RecordKind } from "./types/RecordKind.js";

const kind = z.enum(RecordKind);
const key = z.string().min(1).max(disseminationConstants.maximumKeyLength);
const stamp = z.number().int().nonnegative();
const hash = z.number().int().nonnegative().max(0xffff_ffff);
const bucket = z.number().int().nonnegative().max(disseminationConstants.bucketCount - 1);
const value = z.unknown().refine(
    content => (JSON.stringify(content) ?? "").length <= disseminationConstants.maximumValueLength,
    "value too long",
);

const records = z.array(z.object({ kind, key, stamp, value })).max(disseminationConstants.maximumRecordsPerPull);

/** Schemas of the requests and answers between the dissemination services of peers. */
export const recordSchemas = {
    records,
    digests: z.array(z.object({ kind, count: z.number().int().nonnegative(), hash })).max(16),
    bucketDigests: z.array(z.object({ kind, hashes: z.array(hash).length(disseminationConstants.bucketCount) })).max(
        16,
    ),
    pullRequest: z.object({
        kind,
        buckets: z.array(bucket).max(disseminationConstants.bucketCount),
        known: z.array(z.object({ key, stamp })).max(100_000),
    }),
    pullAnswer: z.object({ records, wantedKeys: z.array(key).max(disseminationConstants.maximumRecordsPerPull) }),
};
