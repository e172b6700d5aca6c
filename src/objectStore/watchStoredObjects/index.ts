import { Agent, request } from "undici";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createDelayLine } from "../../network/createDelayLine/index.js";
import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { createItemStream } from "../../streams/createItemStream/index.js";
import { objectStoreConstants } from "../constants.js";
import type { StoredObject } from "../types/StoredObject.js";

/** Options of `watchStoredObjects`. */
interface WatchStoredObjectsOptions {
    readonly caller: string;
    readonly conditions: NetworkConditions;
    readonly signal: AbortSignal;
    /** Called once the platform has opened the watch; its objects are yielded before the changes. */
    readonly listExistingObjects: () => AsyncIterable<StoredObject>;
}

/**
 * Watches the objects under a prefix through a stream of JSON lines.
 *
 * @param address Address of the platform.
 * @param prefix Prefix of the keys.
 * @param options Name of this process, network conditions, signal that ends the watch, and the objects to yield first.
 * @returns The objects as they change.
 * @throws TarragonpostError of kind `PlatformUnavailable` when the stream ends, is cut or delivers no data in time.
 *
 * @example
 * for await (const object of watchStoredObjects(address, "groups/", options)) { applyObject(object); }
 */
export async function* watchStoredObjects(
    address: Address,
    prefix: string,
    options: WatchStoredObjectsOptions,
): AsyncGenerator<StoredObject> {
    const { conditions, signal } = options;
    const { localZone } = conditions;
    const linkOut = () => conditions.linkBetween(localZone, address.availabilityZone);
    const linkIn = () => conditions.linkBetween(address.availabilityZone, localZone);
    const stream = createItemStream<StoredObject>();
    const abort = new AbortController();
    const openedAt = Date.now();
    const agent = new Agent({ bodyTimeout: 0 });
    const deliverDelayed = createDelayLine(() => linkIn().delayMilliseconds);
    let lastReceivedAt = performance.now();
    let resolveOpened = (): void => {};

    function fail(cause: unknown): void {
        stream.fail(createError(ErrorKind.PlatformUnavailable, `The watch of ${prefix} ended.`, {
            remedy: "Read the objects again and start a new watch.",
            cause,
        }));
        abort.abort();
        resolveOpened();
    }

    function receive(line: string): void {
        if (openedAt <= (linkIn().silentSince ?? 0)) {
            return;
        }
        lastReceivedAt = performance.now();
        resolveOpened();
        if (line !== "") {
            stream.put(JSON.parse(line) as StoredObject);
        }
    }

    async function readLines(): Promise<void> {
        const response = await request(
            `http://${address.host}:${address.port}/watch?prefix=${encodeURIComponent(prefix)}`,
            { dispatcher: agent, signal: abort.signal, headers: { "x-caller": options.caller } },
        );
        if (response.statusCode !== 200) {
            throw new Error(`status ${response.statusCode}`);
        }
        response.body.setEncoding("utf8");
        let incompleteLine = "";
        for await (const chunk of response.body) {
            conditions.countBytes(address.availabilityZone, localZone, Buffer.byteLength(chunk as string));
            const lines = (incompleteLine + (chunk as string)).split("\n");
            incompleteLine = lines.pop() ?? "";
            for (const line of lines) {
                deliverDelayed(() => receive(line));
            }
        }
        throw new Error("the stream ended");
    }

    function checkConnection(): void {
        if (linkOut().isCut || linkIn().isCut) {
            fail(new Error("the link is cut"));
        }
        else if (performance.now() - lastReceivedAt > objectStoreConstants.watchTimeoutMilliseconds) {
            fail(new Error("the stream delivered no data in time"));
        }
    }

    const stopWatching = conditions.onChange(checkConnection);
    const watchdog = setInterval(checkConnection, objectStoreConstants.watchTimeoutMilliseconds / 4);
    const onAbort = (): void => resolveOpened();
    signal.addEventListener("abort", onAbort);
    try {
        const opened = new Promise<void>(resolve => {
            resolveOpened = resolve;
        });
        checkConnection();
        readLines().catch(fail);
        await opened;
        if (!signal.aborted && !abort.signal.aborted) {
            yield* options.listExistingObjects();
        }
        yield* stream.items(signal);
    }
    finally {
        signal.removeEventListener("abort", onAbort);
        clearInterval(watchdog);
        stopWatching();
        abort.abort();
        void agent.destroy().catch(() => {});
    }
}
