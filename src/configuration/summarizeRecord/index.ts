import { configurationConstants } from "../constants.js";
import { isPlainObject } from "../isPlainObject/index.js";
import type { VersionRecord } from "../types/VersionRecord.js";
import type { VersionSummary } from "../types/VersionSummary.js";

/**
 * Summarizes a version for the operator's view of the history.
 *
 * @param record Record of the version.
 * @returns Author, time and the names of the patched entries, without their values.
 *
 * @example
 * records.map(summarizeRecord);
 */
export function summarizeRecord(record: VersionRecord): VersionSummary {
    const { version, patchId, author, wallMilliseconds, patch } = record;
    const keys = Object.entries(patch).flatMap(([section, value]) =>
        isPlainObject(value) ? Object.keys(value).map(key => `${section}.${key}`) : [section]
    );
    const patchBytes = Buffer.byteLength(JSON.stringify(patch));
    return {
        version,
        patchId,
        author,
        wallMilliseconds,
        patchBytes,
        keys: keys.slice(0, configurationConstants.maximumSummaryKeys),
    };
}
