import { createError } from "../../../errors/createError/index.js";
import { ErrorKind } from "../../../errors/types/ErrorKind.js";
import type { StoredObject } from "../../../objectStore/types/StoredObject.js";
import { standInConstants } from "../../constants.js";
import type { ObjectStore } from "../types/ObjectStore.js";

/**
 * Creates an empty object store. Each write raises the store's revision, which becomes the object's version.
 *
 * @returns The store.
 *
 * @example
 * const { version } = store.create("groups/stock", { term: 1 });
 * store.update("groups/stock", { term: 2 }, version);
 */
export function createObjectStore(): ObjectStore {
    const objects = new Map<string, StoredObject>();
    const listeners = new Set<(object: StoredObject) => void>();
    let revision = 0;

    function write(key: string, value: unknown): StoredObject {
        revision += 1;
        const object = { key, version: revision, value };
        objects.set(key, object);
        for (const listener of [...listeners]) {
            listener(object);
        }
        return object;
    }

    function conflict(key: string, currentVersion: number | undefined): Error {
        const state = currentVersion === undefined ? "does not exist" : `has version ${currentVersion}`;
        return createError(ErrorKind.Conflict, `Object ${key} ${state}.`, {
            remedy: "Read the object again before the next write.",
            details: { key, currentVersion },
        });
    }

    function create(key: string, value: unknown): StoredObject {
        const existing = objects.get(key);
        if (existing !== undefined) {
            throw conflict(key, existing.version);
        }
        return write(key, value);
    }

    function update(key: string, value: unknown, expectedVersion: number): StoredObject {
        const existing = objects.get(key);
        if (existing?.version !== expectedVersion) {
            throw conflict(key, existing?.version);
        }
        return write(key, value);
    }

    function list(prefix: string, afterKey: string): readonly StoredObject[] {
        return [...objects.keys()]
            .filter(key => key.startsWith(prefix) && key > afterKey)
            .sort()
            .slice(0, standInConstants.maximumListedObjects)
            .map(key => objects.get(key) as StoredObject);
    }

    function onChange(listener: (object: StoredObject) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    return { read: key => objects.get(key), list, create, update, onChange };
}
