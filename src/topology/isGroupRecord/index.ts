import { z } from "zod";
import type { GroupRecord } from "../types/GroupRecord.js";

const schema = z.object({
    database: z.string().min(1),
    term: z.int().positive(),
    primary: z.string().min(1),
    markerPosition: z.int().nonnegative(),
});

/**
 * Returns whether a value received from a peer is a well-formed group record.
 *
 * @param value The value.
 * @returns True when the value can be applied.
 *
 * @example
 * if (isGroupRecord(record.value)) { groups.applyGroupRecord(record.value); }
 */
export function isGroupRecord(value: unknown): value is GroupRecord {
    return schema.safeParse(value).success;
}
