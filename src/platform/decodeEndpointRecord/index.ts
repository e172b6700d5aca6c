import { z } from "zod";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import { parseAddress } from "../parseAddress/index.js";

/** A word that is sent to endpoints as one field: with a blank or a line end, the rest would be read as other fields. */
const word = z.string().regex(/^[^\s\p{Cc}]+$/u, "is not one word");
const count = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/** Content of an object of the kind `servers`. */
const contentSchema = z.object({
    service: word,
    addr: z.string(),
    zone: z.string(),
    slots: count,
    state: z.enum(["ready", "draining"]),
    coldLeftMs: count.optional(),
    dbRole: z.enum(["primary", "replica"]),
    born: count.int().optional(),
    seq: count.int().optional(),
});

/**
 * Decodes the record with which an endpoint registers itself.
 *
 * @param id Name of the object, which is the endpoint's id.
 * @param version Version of the store at which the object changed.
 * @param content Content of the object, written by the endpoint or by another writer.
 * @returns The endpoint.
 * @throws Error that describes the invalid fields.
 *
 * @example
 * const endpoint = decodeEndpointRecord("i-7f3a", { era: 1, revision: 530 }, content);
 */
export function decodeEndpointRecord(id: string, version: StoreVersion, content: unknown): EndpointRecord {
    const entry = contentSchema.parse(content);
    return {
        id: word.parse(id),
        group: entry.service,
        address: parseAddress(entry.addr, entry.zone),
        slots: entry.slots,
        isLeaving: entry.state === "draining",
        isPrimary: entry.dbRole === "primary",
        warmingMilliseconds: entry.coldLeftMs ?? 0,
        startedAt: entry.born ?? 0,
        reportNumber: entry.seq ?? 0,
        ...version,
    };
}
