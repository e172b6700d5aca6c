import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { objectStoreConstants } from "../constants.js";
import { createPlatformHttpClient } from "../createPlatformHttpClient/index.js";
import type { PlatformAnswer } from "../types/PlatformAnswer.js";
import type { PlatformClient } from "../types/PlatformClient.js";
import type { StoredObject } from "../types/StoredObject.js";
import type { VmRecord } from "../types/VmRecord.js";
import { watchStoredObjects } from "../watchStoredObjects/index.js";

/** Options of `createPlatformClient`. */
interface PlatformClientOptions {
    /** Name of this process, under which the platform counts its calls. */
    readonly caller: string;
    readonly conditions: NetworkConditions;
    /** Timeout of a call. */
    readonly timeoutMilliseconds?: number;
}

const errorKinds: Readonly<Record<number, ErrorKind>> = {
    400: ErrorKind.InvalidRequest,
    404: ErrorKind.NotFound,
    412: ErrorKind.Conflict,
    413: ErrorKind.InvalidRequest,
};

/**
 * Creates the HTTP client of the platform's object store and VM list.
 *
 * @param address Address of the platform.
 * @param options Name of this process, network conditions and optionally the timeout of a call in milliseconds.
 * @returns The client, with a `stop` function for the kernel.
 *
 * @example
 * const platform = createPlatformClient(settings.platform, { caller: settings.name, conditions });
 */
export function createPlatformClient(
    address: Address,
    options: PlatformClientOptions,
): PlatformClient & { stop(): Promise<void>; } {
    const { caller, conditions } = options;
    const timeoutMilliseconds = options.timeoutMilliseconds ?? objectStoreConstants.callTimeoutMilliseconds;
    const platform = createPlatformHttpClient(address, { caller, conditions, timeoutMilliseconds });

    function pathOf(key: string): string {
        return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
    }

    function requireSuccess<Content>(answer: PlatformAnswer): Content {
        if (answer.status === 200) {
            return answer.content as Content;
        }
        const message = (answer.content as { readonly message?: string; } | undefined)?.message;
        throw createError(
            errorKinds[answer.status] ?? ErrorKind.Unexpected,
            `The platform answered status ${answer.status}: ${message}`,
            { remedy: "Read the object again before writing." },
        );
    }

    async function readObject(key: string): Promise<StoredObject | undefined> {
        const answer = await platform.call({ method: "GET", path: pathOf(key) });
        return answer.status === 404 ? undefined : requireSuccess<StoredObject>(answer);
    }

    async function listObjects(prefix: string, afterKey = ""): Promise<StoredObject[]> {
        const query = new URLSearchParams({ prefix, afterKey });
        return requireSuccess(await platform.call({ method: "GET", path: `/objects?${query}` }));
    }

    async function write(key: string, value: unknown, headers: Record<string, string>): Promise<StoredObject> {
        const body = JSON.stringify(value);
        return requireSuccess(await platform.call({ method: "PUT", path: pathOf(key), headers, body }));
    }

    async function* listAll(prefix: string, afterKey: string): AsyncGenerator<StoredObject> {
        for (let last: string | undefined = afterKey; last !== undefined;) {
            const page: StoredObject[] = await listObjects(prefix, last);
            yield* page;
            last = page.at(-1)?.key;
        }
    }

    async function* listNothing(): AsyncGenerator<StoredObject> {}

    return {
        readObject,
        listObjects,
        createObject: (key, value) => write(key, value, { "if-none-match": "*" }),
        updateObject: (key, value, expectedVersion) => write(key, value, { "if-match": `"${expectedVersion}"` }),
        watchObjects: (prefix, signal, afterKey) =>
            watchStoredObjects(address, prefix, {
                caller,
                conditions,
                signal,
                listExistingObjects: () => afterKey === undefined ? listNothing() : listAll(prefix, afterKey),
            }),
        listVms: async () => requireSuccess<VmRecord[]>(await platform.call({ method: "GET", path: "/vms" })),
        stop: platform.stop,
    };
}
