import type { VersionedRecord } from "./VersionedRecord.js";

/**
 * The collection of tarragonpost's own objects in the platform's store.
 *
 * Each call may fail with `PlatformUnavailable` (it had no effect); a write also with `Conflict` (the object is not at
 * that revision) or `OutcomeUnknown` (the answer was lost; the write may still take effect).
 */
export interface RecordStore {
    read(name: string): Promise<VersionedRecord | undefined>;
    create(name: string, content: unknown): Promise<VersionedRecord>;
    replace(name: string, content: unknown, revision: number): Promise<VersionedRecord>;
}
