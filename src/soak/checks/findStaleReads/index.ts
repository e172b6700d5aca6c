import { ReadGuarantee } from "../../../directory/types/ReadGuarantee.js";
import { soakConstants } from "../../constants.js";
import type { CallerUnit } from "../../types/CallerUnit.js";
import type { SoakHistory } from "../../types/SoakHistory.js";
import { UnitOutcome } from "../../types/UnitOutcome.js";

/** Whether a read must return the writes of an acknowledged unit. */
type MustSee = (reader: CallerUnit, written: CallerUnit) => boolean;

const isOlderThanBound: MustSee = (reader, written) =>
    written.endedAt <= reader.startedAt - soakConstants.maximumStalenessMilliseconds;

const mustSee: Readonly<Record<ReadGuarantee, MustSee>> = {
    [ReadGuarantee.Primary]: (reader, written) => written.endedAt <= reader.startedAt,
    [ReadGuarantee.BoundedStaleness]: isOlderThanBound,
    [ReadGuarantee.ReadYourWrites]: (reader, written) =>
        isOlderThanBound(reader, written)
        || (written.session === reader.session && written.endedAt <= reader.startedAt),
};

/** A write of one item in the log. */
interface ItemWrite {
    readonly data: string;
    readonly unit: CallerUnit | undefined;
}

/**
 * Finds reads that miss an acknowledged write which the guarantee of their route requires them to return.
 *
 * Reads that returned data outside the final log are ignored: data that a promotion discarded, and uncommitted writes
 * of the reading transaction.
 *
 * @param history The history of a run.
 * @returns Yields a description of each such read.
 *
 * @example
 * const stale = [...findStaleReads(history)];
 */
export function* findStaleReads(history: SoakHistory): Generator<string> {
    const writes = listItemWrites(history);
    for (const unit of history.units) {
        for (const { id, item, data } of unit.reads) {
            const itemWrites = writes.get(item) ?? [];
            const seenIndex = itemWrites.findIndex(write => write.data === data);
            const isKnown = seenIndex >= 0 || data === "nothing";
            const missing = itemWrites.slice(seenIndex + 1).find(write =>
                write.unit?.outcome === UnitOutcome.Acknowledged && mustSee[unit.guarantee](unit, write.unit)
            );
            if (isKnown && missing !== undefined) {
                const age = Math.round(unit.startedAt - missing.unit!.endedAt);
                yield `${unit.guarantee} read ${id} of ${item} saw ${data}, not ${missing.data} of ${age} ms before`;
            }
        }
    }
}

function listItemWrites({ units, log }: SoakHistory): ReadonlyMap<string, readonly ItemWrite[]> {
    const unitsById = new Map(units.flatMap(unit => unit.writeIds.map(id => [id, unit] as const)));
    const writes = new Map<string, ItemWrite[]>();
    for (const { ids, items } of log) {
        for (const [item, data] of Object.entries(items)) {
            const itemWrites = writes.get(item) ?? [];
            writes.set(item, itemWrites);
            itemWrites.push({ data, unit: unitsById.get(ids[0] ?? "") });
        }
    }
    return writes;
}
