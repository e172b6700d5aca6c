import type { ConfigurationSnapshot } from "./ConfigurationSnapshot.js";
import type { VersionRecord } from "./VersionRecord.js";

/** Versions and snapshots in the platform's store; only the pointer to the newest snapshot is ever overwritten. */
export interface ConfigurationStore {
    readRecord(version: number): Promise<VersionRecord | undefined>;
    /** The first records above `version`, in order; the platform determines their number. */
    readPage(version: number): Promise<readonly VersionRecord[]>;
    /** Yields all records above `version`, in order. */
    listRecords(version: number): AsyncGenerator<VersionRecord>;
    /** Yields the records above `version`, then new ones as they are created; throws when the watch is interrupted. */
    watchRecords(version: number, signal: AbortSignal): AsyncGenerator<VersionRecord>;
    /** Creates the version; fails with `Conflict` if it exists. */
    createRecord(record: VersionRecord): Promise<void>;
    /** The newest snapshot up to `highestVersion`, or the newest of all if that is undefined. */
    readSnapshot(highestVersion?: number): Promise<ConfigurationSnapshot | undefined>;
    /** Version of the newest snapshot, 0 if there is none. */
    readSnapshotVersion(): Promise<number>;
    writeSnapshot(snapshot: ConfigurationSnapshot): Promise<void>;
}
