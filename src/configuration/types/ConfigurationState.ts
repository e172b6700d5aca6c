import type { ApplyOutcome } from "./ApplyOutcome.js";
import type { ConfigurationSnapshot } from "./ConfigurationSnapshot.js";
import type { VersionedConfiguration } from "./VersionedConfiguration.js";
import type { VersionRecord } from "./VersionRecord.js";

/** The version in force in one process, and the latest records. The version number never decreases. */
export interface ConfigurationState {
    current(): VersionedConfiguration;
    /** Document, digest and patch ids of the version in force. */
    snapshot(): ConfigurationSnapshot;
    /** Snapshot of the newest version in this process that is to be written to the store. */
    snapshotDue(): ConfigurationSnapshot | undefined;
    /** Applies the next version and buffered ones that follow it; buffers a later version, ignores an older one. */
    applyRecord(record: VersionRecord): ApplyOutcome;
    /** Restores a snapshot if its version is higher and its digest correct; returns whether it was restored. */
    restore(snapshot: ConfigurationSnapshot): boolean;
    /** Records of the versions above `version`, in order; undefined if some of them are no longer kept. */
    recordsAfter(version: number): readonly VersionRecord[] | undefined;
    /** Version created by the patch with this id, if it is among the latest patches. */
    versionOfPatch(patchId: string): number | undefined;
    /** Records that a version exists, without its record. */
    recordKnownVersion(version: number): void;
    /** The highest version known to exist, in force in this process or not. */
    highestKnownVersion(): number;
    onChange(listener: (configuration: VersionedConfiguration) => void): () => void;
}
