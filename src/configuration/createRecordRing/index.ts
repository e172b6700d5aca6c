import { configurationConstants } from "../constants.js";
import type { VersionRecord } from "../types/VersionRecord.js";

/** The latest version records without a gap, bounded in number and bytes. */
interface RecordRing {
    /** Adds the record of the version after the newest one. */
    add(record: VersionRecord): void;
    /** Records above `version` up to `newest`; undefined when some are not kept. */
    after(version: number, newest: number): readonly VersionRecord[] | undefined;
    clear(): void;
}

/**
 * Creates the ring of version records that a process keeps for its peers.
 *
 * @returns The ring, empty.
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
            records.length > configurationConstants.keptRecords || totalBytes > configurationConstants.keptRecordBytes
        ) {
            records.shift();
            totalBytes -= sizes.shift() ?? 0;
        }
    }

    function after(version: number, newest: number): readonly VersionRecord[] | undefined {
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

    return { add, after, clear };
}
