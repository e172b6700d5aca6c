import type { RecordStore } from "../../directory/types/RecordStore.js";
import { dutyConstants } from "../constants.js";
import { toDutyHolder } from "../toDutyHolder/index.js";
import type { DutyHolder } from "../types/DutyHolder.js";

/**
 * Reads the recorded holder of the failover duty from the platform's store.
 *
 * @param records The store's records.
 * @returns The holder; undefined when there is no record.
 * @throws TarragonpostError of kind `PlatformUnavailable` when the store does not answer.
 *
 * @example
 * const holder = await readRecordedHolder(records);
 */
export async function readRecordedHolder(records: Pick<RecordStore, "read">): Promise<DutyHolder | undefined> {
    const record = await records.read(dutyConstants.recordName);
    return record && toDutyHolder(record);
}
