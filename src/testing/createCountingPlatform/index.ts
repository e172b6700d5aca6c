import { EventEmitter, on } from "node:events";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { StoredObject } from "../../objectStore/types/StoredObject.js";
import type { CountingPlatform } from "../types/CountingPlatform.js";

/**
 * Creates an in-memory platform for tests and benchmarks: objects with watches, and calls counted by method.
 *
 * @returns The platform, empty and reachable.
 *
 * @example
 * const platform = createCountingPlatform();
 * platform.loseNextAnswer(ErrorKind.OutcomeUnknown);
 */
export function createCountingPlatform(): CountingPlatform {
    const objects = new Map<string, StoredObject>();
    const changes = new EventEmitter().setMaxListeners(0).on("error", () => {});
    const calls = new Map<string, number>();
    let isDown = false;
    let lostAnswerKind: ErrorKind | undefined;
    let droppedWriteKind: ErrorKind | undefined;
    let largestBytes = 0;

    function fail(kind: ErrorKind): never {
        throw createError(kind, `The platform answered ${kind}.`, { remedy: "Retry." });
    }

    async function count(method: string): Promise<void> {
        calls.set(method, (calls.get(method) ?? 0) + 1);
        await new Promise(resolve => setImmediate(resolve));
        if (isDown) {
            fail(ErrorKind.PlatformUnavailable);
        }
    }

    function write(key: string, value: unknown, expectedVersion: number): StoredObject {
        if (droppedWriteKind !== undefined) {
            const kind = droppedWriteKind;
            droppedWriteKind = undefined;
            fail(kind);
        }
        if ((objects.get(key)?.version ?? 0) !== expectedVersion) {
            fail(ErrorKind.Conflict);
        }
        const text = JSON.stringify(value);
        largestBytes = Math.max(largestBytes, Buffer.byteLength(text));
        const stored = { key, version: expectedVersion + 1, value: JSON.parse(text) as unknown };
        objects.set(key, stored);
        changes.emit("change", stored);
        if (lostAnswerKind !== undefined) {
            const kind = lostAnswerKind;
            lostAnswerKind = undefined;
            fail(kind);
        }
        return stored;
    }

    async function listObjects(prefix: string, afterKey = ""): Promise<StoredObject[]> {
        await count("listObjects");
        return listSorted(prefix, afterKey).slice(0, 1_000);
    }

    function listSorted(prefix: string, afterKey: string): StoredObject[] {
        const matching = [...objects.values()].filter(({ key }) => key.startsWith(prefix) && key > afterKey);
        return matching.sort((a, b) => (a.key < b.key ? -1 : 1));
    }

    async function* watchObjects(prefix: string, signal: AbortSignal, afterKey?: string): AsyncGenerator<StoredObject> {
        await count("watchObjects");
        const changesAfterStart = on(changes, "change", { signal });
        if (afterKey !== undefined) {
            yield* listSorted(prefix, afterKey);
        }
        for await (const [stored] of changesAfterStart) {
            if ((stored as StoredObject).key.startsWith(prefix)) {
                yield stored as StoredObject;
            }
        }
    }

    return {
        readObject: key => count("readObject").then(() => objects.get(key)),
        listObjects,
        createObject: (key, value) => count("createObject").then(() => write(key, value, 0)),
        updateObject: (key, value, version) => count("updateObject").then(() => write(key, value, version)),
        watchObjects,
        listVms: () => count("listVms").then(() => []),
        setDown: down => {
            isDown = down;
            if (down) {
                changes.emit(
                    "error",
                    createError(ErrorKind.PlatformUnavailable, "The platform is unavailable.", { remedy: "Retry." }),
                );
            }
        },
        loseNextAnswer: kind => {
            lostAnswerKind = kind;
        },
        dropNextWrite: kind => {
            droppedWriteKind = kind;
        },
        calls,
        largestValueBytes: () => largestBytes,
    };
}
