import { z } from "zod";
import type { DisseminatedRecord } from "../../dissemination/types/DisseminatedRecord.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import { versionRecordSchema } from "../versionRecordSchema/index.js";

const announcementSchema = z.object({
    version: z.number().int().min(1),
    record: versionRecordSchema.optional(),
});

/**
 * Applies a version that another gateway announced.
 *
 * @param state The configuration of this process.
 * @param announcement The disseminated record; ignored if it is malformed.
 *
 * @example
 * dissemination.onRecord(RecordKind.ConfigurationVersion, record => applyVersionAnnouncement(state, record));
 */
export function applyVersionAnnouncement(state: ConfigurationState, announcement: DisseminatedRecord): void {
    const outcome = announcementSchema.safeParse(announcement.value);
    if (!outcome.success) {
        return;
    }
    state.recordKnownVersion(outcome.data.version);
    if (outcome.data.record !== undefined) {
        state.applyRecord(outcome.data.record);
    }
}
