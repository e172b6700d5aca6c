import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/** Objects of our own, kept in memory, with a switch for the store's trouble. */
interface MemoryRecords extends RecordStore {
    /** Whether calls are served. */
    isServing: boolean;
}

/**
 * Creates objects with revisions for tests.
 *
 * @returns The store, empty and serving.
 *
 * @example
 * const records = createMemoryRecords();
 */
export function createMemoryRecords(): MemoryRecords {
    const objects = new Map<string, VersionedRecord>();
    let revision = 0;

    function requireService(): void {
        if (!records.isServing) {
            throw createError(ErrorKind.PlatformUnavailable, "The store is away.", { remedy: "Try again later." });
        }
    }

    function write(name: string, content: unknown, isAllowed: boolean): VersionedRecord {
        if (!isAllowed) {
            throw createError(ErrorKind.Conflict, `${name} has changed.`, { remedy: "Read it again." });
        }
        revision += 1;
        const record = { revision, content };
        objects.set(name, record);
        return record;
    }

    const records: MemoryRecords = {
        isServing: true,
        read: async name => {
            requireService();
            return objects.get(name);
        },
        create: async (name, content) => {
            requireService();
            return write(name, content, !objects.has(name));
        },
        replace: async (name, content, expected) => {
            requireService();
            return write(name, content, objects.get(name)?.revision === expected);
        },
    };
    return records;
}
