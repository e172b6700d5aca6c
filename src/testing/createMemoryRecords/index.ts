import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/** An in-memory record store whose outage a test can switch on. */
interface MemoryRecords extends RecordStore {
    /** While false, all calls fail with `PlatformUnavailable`. */
    isAvailable: boolean;
}

/**
 * Creates an in-memory store of records with revisions for tests.
 *
 * @returns The store, empty and available.
 *
 * @example
 * const records = createMemoryRecords();
 */
export function createMemoryRecords(): MemoryRecords {
    const objects = new Map<string, VersionedRecord>();
    let revision = 0;

    function requireAvailable(): void {
        if (!records.isAvailable) {
            throw createError(ErrorKind.PlatformUnavailable, "The store is unavailable.", { remedy: "Retry later." });
        }
    }

    function write(name: string, content: unknown, isAllowed: boolean): VersionedRecord {
        if (!isAllowed) {
            throw createError(ErrorKind.Conflict, `Record ${name} has changed.`, { remedy: "Read the record again." });
        }
        revision += 1;
        const record = { era: 0, revision, content };
        objects.set(name, record);
        return record;
    }

    const records: MemoryRecords = {
        isAvailable: true,
        read: async name => {
            requireAvailable();
            return objects.get(name);
        },
        create: async (name, content) => {
            requireAvailable();
            return write(name, content, !objects.has(name));
        },
        replace: async (name, content, expected) => {
            requireAvailable();
            return write(name, content, objects.get(name)?.revision === expected);
        },
    };
    return records;
}
