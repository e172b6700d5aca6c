import type { VersionedRecord } from "./VersionedRecord.js";

/**
 * Objects of our own in the platform's store, one collection.
 *
 * Each call may fail with `PlatformUnavailable` (nothing was done); a write also with `Conflict` (the object is not at
 * that revision) or `OutcomeUnknown` (the answer was lost; the write may take effect later).
 */
export interface RecordStore {
    read(name: string): Promise<VersionedRecord | undefined>;
    create(name: string, content: unknown): Promise<VersionedRecord>;
    replace(name: string, content: unknown, revision: number): Promise<VersionedRecord>;
}
