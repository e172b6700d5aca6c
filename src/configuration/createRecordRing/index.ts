import { configurationConstants } from "../constants.js";
import type { VersionRecord } from "../types/VersionRecord.js";

/** The latest consecutive version records, bounded in number and bytes. */
interface RecordRing {
    /** Adds the record of the next version. */
    add(record: VersionRecord): void;
    /** Records above `version` up to `newest`; undefined if some of them are no longer kept. */
    listAfter(version: number, newest: number): readonly VersionRecord[] | undefined;
    clear(): void;
}

/**
 * Creates the bounded list of version records that a process keeps for its peers.
 *
 * @returns The empty list.
 *
 * @example
 * const ring = createRecordRing();
 * ring.add(record);
 */
export function createRecordRing(): RecordRing {
    let records: VersionRecord[] = [];
    let sizes: number[] = [];
    let totalBytes = 0;

    function add(record: VersionRecord): void {
        const bytes = JSON.stringify(record.patch).length;
        records.push(record);
        sizes.push(bytes);
        totalBytes += bytes;
        while (
            records.length > configurationConstants.maximumKeptRecords
            || totalBytes > configurationConstants.maximumKeptRecordBytes
        ) {
            records.shift();
            totalBytes -= sizes.shift() ?? 0;
        }
    }

    function listAfter(version: number, newest: number): readonly VersionRecord[] | undefined {
        if (version >= newest) {
            return [];
        }
        const kept = records.filter(record => record.version > version);
        return kept.length === newest - version ? kept : undefined;
    }

    function clear(): void {
        records = [];
        sizes = [];
        totalBytes = 0;
    }

    return { add, listAfter, clear };
}
