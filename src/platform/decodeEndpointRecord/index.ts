import { z } from "zod";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import { parseAddress } from "../parseAddress/index.js";

/** Content of an object of the kind `servers`. */
const contentSchema = z.object({
    service: z.string().min(1),
    addr: z.string(),
    zone: z.string(),
    slots: z.number(),
    state: z.enum(["ready", "draining"]),
    coldLeftMs: z.number().optional(),
    dbRole: z.enum(["primary", "replica"]),
    born: z.number().optional(),
    seq: z.number().optional(),
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
        id,
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
