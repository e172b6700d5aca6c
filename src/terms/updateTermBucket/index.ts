import { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";
import { termConstants } from "../constants.js";
import type { TermBlock } from "../types/TermBlock.js";

const bucketSchema = z.record(z.string(), z.number().int().nonnegative());

/**
 * Reserves the next block of terms for several databases of one bucket by one conditional update.
 *
 * Each block starts above the highest term in the store, so that terms of an update whose answer was lost are skipped
 * by the next attempt and never reused.
 *
 * @param platform The platform's service.
 * @param key Key of the bucket's object.
 * @param lowerBounds For each database the term that its block must be above.
 * @returns The reserved block of each database.
 * @throws TarragonpostError of kind `Conflict`, `OutcomeUnknown` or `PlatformUnavailable`; nothing is then reserved.
 *
 * @example
 * const blocks = await updateTermBucket(platform, "terms/7", new Map([["stock", 4]]));
 */
export async function updateTermBucket(
    platform: PlatformClient,
    key: string,
    lowerBounds: ReadonlyMap<string, number>,
): Promise<ReadonlyMap<string, TermBlock>> {
    const stored = await platform.readObject(key);
    const checked = bucketSchema.safeParse(stored?.value ?? {});
    if (!checked.success) {
        throw createError(
            ErrorKind.Unexpected,
            `The object ${key} of the platform's store is not a map from database to term.`,
            {
                remedy: "Restore it to a map from database to a term above every term in use.",
            },
        );
    }
    const highest = { ...checked.data };
    const blocks = new Map<string, TermBlock>();
    for (const [database, above] of lowerBounds) {
        const first = Math.max(highest[database] ?? 0, above) + 1;
        const last = first + termConstants.termsPerReservation - 1;
        highest[database] = last;
        blocks.set(database, { first, last });
    }
    if (stored === undefined) {
        await platform.createObject(key, highest);
    }
    else {
        await platform.updateObject(key, highest, stored.version);
    }
    return blocks;
}
