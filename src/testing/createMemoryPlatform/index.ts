import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";
import type { StoredObject } from "../../objectStore/types/StoredObject.js";

/** An in-memory platform whose failures a test sets. */
interface MemoryPlatform extends PlatformClient {
    setDown(isDown: boolean): void;
    /** The next write takes effect, and its answer is replaced by this failure. */
    loseNextAnswer(kind: ErrorKind): void;
    countWrites(): number;
    countConflicts(): number;
}

/**
 * Creates an in-memory platform for tests, with versioned objects and conditional updates.
 *
 * @returns The platform, empty.
 *
 * @example
 * const platform = createMemoryPlatform();
 * platform.setDown(true);
 */
export function createMemoryPlatform(): MemoryPlatform {
    const objects = new Map<string, StoredObject>();
    let isDown = false;
    let nextFailure: ErrorKind | undefined;
    let writes = 0;
    let conflicts = 0;

    function fail(kind: ErrorKind): never {
        throw createError(kind, `The platform answered ${kind}.`, { remedy: "Retry." });
    }

    async function requireAvailable(): Promise<void> {
        await new Promise(resolve => setImmediate(resolve));
        if (isDown) {
            fail(ErrorKind.PlatformUnavailable);
        }
    }

    async function write(key: string, value: unknown, expectedVersion: number): Promise<StoredObject> {
        await requireAvailable();
        if ((objects.get(key)?.version ?? 0) !== expectedVersion) {
            conflicts += 1;
            fail(ErrorKind.Conflict);
        }
        writes += 1;
        const stored = { key, version: expectedVersion + 1, value: structuredClone(value) };
        objects.set(key, stored);
        const failure = nextFailure;
        nextFailure = undefined;
        return failure === undefined ? stored : fail(failure);
    }

    async function readObject(key: string): Promise<StoredObject | undefined> {
        await requireAvailable();
        return objects.get(key);
    }

    async function listObjects(prefix: string): Promise<StoredObject[]> {
        await requireAvailable();
        return [...objects.values()].filter(({ key }) => key.startsWith(prefix));
    }

    return {
        readObject,
        listObjects,
        createObject: (key, value) => write(key, value, 0),
        updateObject: write,
        watchObjects: async function*() {
            await requireAvailable();
        },
        listVms: async () => [],
        setDown: down => {
            isDown = down;
        },
        loseNextAnswer: kind => {
            nextFailure = kind;
        },
        countWrites: () => writes,
        countConflicts: () => conflicts,
    };
}
