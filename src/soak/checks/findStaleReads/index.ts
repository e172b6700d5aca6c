import { ReadGuarantee } from "../../../directory/types/ReadGuarantee.js";
import { soakConstants } from "../../constants.js";
import type { CallerUnit } from "../../types/CallerUnit.js";
import type { SoakHistory } from "../../types/SoakHistory.js";
import { UnitOutcome } from "../../types/UnitOutcome.js";

/** Whether a read has to see a unit that was acknowledged at that time. */
type SeesUnit = (reader: CallerUnit, written: CallerUnit) => boolean;

const isOld: SeesUnit = (reader, written) => written.endedAt <= reader.startedAt - soakConstants.stalenessMilliseconds;

const hasToSee: Readonly<Record<ReadGuarantee, SeesUnit>> = {
    [ReadGuarantee.Primary]: (reader, written) => written.endedAt <= reader.startedAt,
    [ReadGuarantee.BoundedStaleness]: isOld,
    [ReadGuarantee.ReadYourWrites]: (reader, written) =>
        isOld(reader, written) || (written.session === reader.session && written.endedAt <= reader.startedAt),
};

/** A write of one item in the log. */
interface ItemWrite {
    readonly data: string;
    readonly unit: CallerUnit | undefined;
}

/**
 * Finds reads that lack a write which was acknowledged before they began, as far as their route promises to show it.
 *
 * Reads of what a promotion dropped, and of a transaction's own writes, say nothing and are passed over.
 *
 * @param history The history of a run.
 * @returns Yields the reads.
 *
 * @example
 * const stale = [...findStaleReads(history)];
 */
export function* findStaleReads(history: SoakHistory): Generator<string> {
    const writes = listItemWrites(history);
    for (const unit of history.units) {
        for (const { id, item, data } of unit.reads) {
            const ofItem = writes.get(item) ?? [];
            const seen = ofItem.findIndex(write => write.data === data);
            const isKnown = seen >= 0 || data === "nothing";
            const missing = ofItem.slice(seen + 1).find(write =>
                write.unit?.outcome === UnitOutcome.Acknowledged && hasToSee[unit.guarantee](unit, write.unit)
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
            const ofItem = writes.get(item) ?? [];
            writes.set(item, ofItem);
            ofItem.push({ data, unit: unitsById.get(ids[0] ?? "") });
        }
    }
    return writes;
}
