import type { StoredObject } from "../../../objectStore/types/StoredObject.js";

/** Versioned objects with conditional updates. */
export interface ObjectStore {
    read(key: string): StoredObject | undefined;
    /** Objects whose key starts with the prefix and comes after `afterKey`, sorted by key. */
    list(prefix: string, afterKey: string): readonly StoredObject[];
    create(key: string, value: unknown): StoredObject;
    update(key: string, value: unknown, expectedVersion: number): StoredObject;
    onChange(listener: (object: StoredObject) => void): () => void;
}
