import type { RecordStore } from "../../directory/types/RecordStore.js";
import { dutyConstants } from "../constants.js";
import { toDutyHolder } from "../toDutyHolder/index.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { RecordedHolder } from "../types/RecordedHolder.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** The recorded holder, and whether this VM has just created the record. */
interface HolderReading {
    readonly holder: DutyHolder;
    readonly isCreated: boolean;
}

/**
 * Reads the record of the holder of the failover duty; creates it for this VM when there is none.
 *
 * @param records The store.
 * @param self This VM.
 * @param knownEra An era of the store that has begun.
 * @returns The recorded holder.
 * @throws TarragonpostError when the store does not answer, or another VM creates the record first.
 *
 * @example
 * const { holder } = await readOrCreateRecord(store.records, self, 1);
 */
export async function readOrCreateRecord(
    records: RecordStore,
    self: VmIdentity,
    knownEra: number,
): Promise<HolderReading> {
    const record = await records.read(dutyConstants.recordName);
    if (record !== undefined) {
        return { holder: toDutyHolder(record), isCreated: false };
    }
    const content: RecordedHolder = { ...self, writtenInEra: knownEra };
    return { holder: toDutyHolder(await records.create(dutyConstants.recordName, content)), isCreated: true };
}
