import { z } from "zod";
import { membershipConstants } from "./constants.js";
import { PeerState } from "./types/PeerState.js";

const text = z.string().min(1).max(membershipConstants.maximumNameLength);
const port = z.number().int().min(1).max(65_535);
const count = z.number().int().min(0).max(membershipConstants.maximumIncarnation);
const record = z.object({
    name: text,
    host: text,
    port,
    availabilityZone: text,
    region: text,
    state: z.enum(PeerState),
    incarnation: count,
});
const updates = z.object({
    peers: z.array(record).max(membershipConstants.maximumRecordsPerAnswer),
    zones: z.array(z.object({ availabilityZone: text, isLost: z.boolean(), stamp: count })).max(1_000),
});

/** Schemas of the requests and answers between the membership services of peers. */
export const membershipSchemas = {
    record,
    records: z.array(record),
    updates,
    probe: z.object({ target: text, updates }),
    indirectProbe: z.object({ target: text, host: text, port, availabilityZone: text }),
    digests: z.array(z.number().int()).length(membershipConstants.synchronizationBucketCount),
} as const;
