import { Agent, request } from "undici";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createDelayLine } from "../../network/createDelayLine/index.js";
import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { createItemStream } from "../../streams/createItemStream/index.js";
import { platformConstants } from "../constants.js";
import type { StoredObject } from "../types/StoredObject.js";

/** Options of `watchPlatform`. */
interface WatchPlatformOptions {
    readonly caller: string;
    readonly conditions: NetworkConditions;
    readonly signal: AbortSignal;
    /** Called once the platform has taken up the watch; what it yields comes before the changes. */
    readonly listFirst: () => AsyncIterable<StoredObject>;
}

/**
 * Watches the objects under a prefix over a stream of JSON lines.
 *
 * @param address Where the platform listens.
 * @param prefix Start of the keys.
 * @param options Name of this process, network conditions, the signal that ends the watch and what to yield first.
 * @returns Objects as they change.
 * @throws TarragonpostError of kind `PlatformUnavailable` when the watch is cut or silent.
 *
 * @example
 * for await (const object of watchPlatform(address, "groups/", options)) { learn(object); }
 */
export async function* watchPlatform(
    address: Address,
    prefix: string,
    options: WatchPlatformOptions,
): AsyncGenerator<StoredObject> {
    const { conditions, signal } = options;
    const { localZone } = conditions;
    const linkOut = () => conditions.linkBetween(localZone, address.availabilityZone);
    const linkIn = () => conditions.linkBetween(address.availabilityZone, localZone);
    const stream = createItemStream<StoredObject>();
    const ending = new AbortController();
    const openedAt = Date.now();
    const agent = new Agent({ bodyTimeout: 0 });
    const deliverLater = createDelayLine(() => linkIn().delayMilliseconds);
    let lastHeard = performance.now();
    let established = (): void => {};

    function fail(cause: unknown): void {
        stream.fail(createError(ErrorKind.PlatformUnavailable, `The watch of ${prefix} ended.`, {
            remedy: "Read the objects again and watch anew.",
            cause,
        }));
        ending.abort();
        established();
    }

    function receive(line: string): void {
        if (openedAt <= (linkIn().silentSince ?? 0)) {
            return;
        }
        lastHeard = performance.now();
        established();
        if (line !== "") {
            stream.put(JSON.parse(line) as StoredObject);
        }
    }

    async function readLines(): Promise<void> {
        const response = await request(
            `http://${address.host}:${address.port}/watch?prefix=${encodeURIComponent(prefix)}`,
            { dispatcher: agent, signal: ending.signal, headers: { "x-caller": options.caller } },
        );
        if (response.statusCode !== 200) {
            throw new Error(`status ${response.statusCode}`);
        }
        response.body.setEncoding("utf8");
        let rest = "";
        for await (const chunk of response.body) {
            conditions.countBytes(address.availabilityZone, localZone, Buffer.byteLength(chunk as string));
            const lines = (rest + (chunk as string)).split("\n");
            rest = lines.pop() ?? "";
            for (const line of lines) {
                deliverLater(() => receive(line));
            }
        }
        throw new Error("the stream ended");
    }

    function look(): void {
        if (linkOut().isCut || linkIn().isCut) {
            fail(new Error("the link is cut"));
        }
        else if (performance.now() - lastHeard > platformConstants.watchSilenceMilliseconds) {
            fail(new Error("the stream is silent"));
        }
    }

    const stopWatching = conditions.onChange(look);
    const watchdog = setInterval(look, platformConstants.watchSilenceMilliseconds / 4);
    const onAbort = (): void => established();
    signal.addEventListener("abort", onAbort);
    try {
        const opened = new Promise<void>(resolve => {
            established = resolve;
        });
        look();
        readLines().catch(fail);
        await opened;
        if (!signal.aborted && !ending.signal.aborted) {
            yield* options.listFirst();
        }
        yield* stream.items(signal);
    }
    finally {
        signal.removeEventListener("abort", onAbort);
        clearInterval(watchdog);
        stopWatching();
        ending.abort();
        void agent.destroy().catch(() => {});
    }
}
