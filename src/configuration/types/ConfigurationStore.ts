import type { ConfigurationSnapshot } from "./ConfigurationSnapshot.js";
import type { VersionRecord } from "./VersionRecord.js";

/** Versions and snapshots in the platform's store; nothing in it is ever overwritten but the pointer to a snapshot. */
export interface ConfigurationStore {
    readRecord(version: number): Promise<VersionRecord | undefined>;
    /** The first records above `version`, in order; how many is up to the platform. */
    readPage(version: number): Promise<readonly VersionRecord[]>;
    /** Yields all records above `version`, in order. */
    listRecords(version: number): AsyncGenerator<VersionRecord>;
    /** Yields the records above `version`, then others as they are created; ends by throwing. */
    watchRecords(version: number, signal: AbortSignal): AsyncGenerator<VersionRecord>;
    /** Creates the version; fails with `Conflict` when it exists. */
    createRecord(record: VersionRecord): Promise<void>;
    /** The newest snapshot that is not above `highestVersion`; the newest of all when left out. */
    readSnapshot(highestVersion?: number): Promise<ConfigurationSnapshot | undefined>;
    /** Version of the newest snapshot, 0 when there is none. */
    readSnapshotVersion(): Promise<number>;
    writeSnapshot(snapshot: ConfigurationSnapshot): Promise<void>;
}
