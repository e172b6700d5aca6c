import { z } from "zod";
import type { GroupRecord } from "../types/GroupRecord.js";

const schema = z.object({
    database: z.string().min(1),
    term: z.int().positive(),
    primary: z.string().min(1),
    markerPosition: z.int().nonnegative(),
});

/**
 * Tells whether a value that came from a peer is a well-formed group record.
 *
 * @param value The value.
 * @returns True when it can be taken in.
 *
 * @example
 * if (isGroupRecord(record.value)) { groups.learn(record.value); }
 */
export function isGroupRecord(value: unknown): value is GroupRecord {
    return schema.safeParse(value).success;
}
