import type { ConfigurationSnapshot } from "./ConfigurationSnapshot.js";
import type { TakeInOutcome } from "./TakeInOutcome.js";
import type { VersionedConfiguration } from "./VersionedConfiguration.js";
import type { VersionRecord } from "./VersionRecord.js";

/** The version in force in one process, and the latest records. The version number never falls. */
export interface ConfigurationState {
    current(): VersionedConfiguration;
    /** Content, digest and patch ids of the version in force. */
    snapshot(): ConfigurationSnapshot;
    /** The newest version that is due for a snapshot in the store. */
    snapshotDue(): ConfigurationSnapshot | undefined;
    /** Applies the next version, and those kept for after it; a higher one is kept, a lower one ignored. */
    takeIn(record: VersionRecord): TakeInOutcome;
    /** Takes over a whole content unless its version is lower; returns whether it was taken. */
    restore(snapshot: ConfigurationSnapshot): boolean;
    /** Records of the versions above `version`, in order; undefined when they are no longer all kept. */
    recordsAfter(version: number): readonly VersionRecord[] | undefined;
    /** The version that the patch of this id became, if it is among the latest. */
    versionOfPatch(patchId: string): number | undefined;
    /** Notes that a version exists, without its content. */
    hear(version: number): void;
    /** The highest version heard of, in force here or not. */
    highestHeard(): number;
    onChange(listener: (configuration: VersionedConfiguration) => void): () => void;
}
