import { decode, encode } from "@msgpack/msgpack";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { WebSocket } from "ws";
import type { EndpointAnswerFrame } from "../../../endpoints/types/EndpointAnswerFrame.js";
import { EndpointAnswerKind } from "../../../endpoints/types/EndpointAnswerKind.js";
import type { EndpointCallFrame } from "../../../endpoints/types/EndpointCallFrame.js";
import { EndpointCallKind } from "../../../endpoints/types/EndpointCallKind.js";
import { serializeError } from "../../../transport/serializeError/index.js";
import { createCallHandlers } from "../createCallHandlers/index.js";
import { parseCallContent } from "../parseCallContent/index.js";
import type { EndpointCore } from "../types/EndpointCore.js";

/** Options of `serveConnection`. */
interface ServeConnectionOptions {
    /** Whether this connection has been silenced: it then neither receives nor sends. */
    readonly isSilent: () => boolean;
}

/**
 * Serves one connection until it is closed: sends the welcome frame and runs calls concurrently.
 *
 * @param socket The accepted connection.
 * @param core The endpoint's components.
 * @param options State of this connection.
 *
 * @example
 * void serveConnection(socket, core, { isSilent: () => false });
 */
export async function serveConnection(
    socket: WebSocket,
    core: EndpointCore,
    options: ServeConnectionOptions,
): Promise<void> {
    const { settings, counters, switches, terms, log, clock } = core;
    const watches = new Map<number, AbortController>();
    const handlers = createCallHandlers(core);

    async function send(id: number, kind: EndpointAnswerKind, content: unknown): Promise<void> {
        await switches.waitWhileFrozen();
        if (!options.isSilent() && socket.readyState === socket.OPEN) {
            const frame: EndpointAnswerFrame = [id, kind, content, switches.state.isLeaving];
            socket.send(encode(frame, { ignoreUndefined: true }));
        }
    }

    async function watchStatus(id: number): Promise<void> {
        const watch = new AbortController();
        watches.set(id, watch);
        let hasChanged = true;
        let wake = (): void => {};
        const markChanged = (): void => {
            hasChanged = true;
            wake();
        };
        const subscriptions = [log.onChange(markChanged), terms.onChange(markChanged), switches.onChange(markChanged)];
        watch.signal.addEventListener("abort", markChanged);
        while (!watch.signal.aborted) {
            if (!hasChanged) {
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
                await nextTurn();
                continue;
            }
            hasChanged = false;
            await send(id, EndpointAnswerKind.Answer, core.readStatus());
        }
        for (const unsubscribe of subscriptions) {
            unsubscribe();
        }
    }

    async function runCall([id, kind, content]: EndpointCallFrame): Promise<void> {
        await switches.waitWhileFrozen();
        try {
            await send(id, EndpointAnswerKind.Answer, await handlers[kind]?.(content));
        }
        catch (error) {
            await send(id, EndpointAnswerKind.Failure, serializeError(error));
        }
    }

    function receive(frame: EndpointCallFrame): void {
        if (options.isSilent()) {
            return;
        }
        if (frame[1] === EndpointCallKind.WatchStatus) {
            void watchStatus(frame[0]);
        }
        else if (frame[1] === EndpointCallKind.StopWatching) {
            watches.get(parseCallContent("stopWatching", frame[2]).id)?.abort();
        }
        else {
            void runCall(frame);
        }
    }

    socket.on("error", () => socket.terminate());
    if (counters.connections >= settings.connectionLimit) {
        counters.refusedConnections += 1;
        await send(0, EndpointAnswerKind.ConnectionLimit, undefined);
        socket.close();
        return;
    }
    counters.connections += 1;
    counters.mostConnections = Math.max(counters.mostConnections, counters.connections);
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    socket.on("message", bytes => {
        try {
            receive(decode(bytes as Buffer) as EndpointCallFrame);
        }
        catch {
            socket.terminate();
        }
    });
    await clock.sleep(settings.connectMilliseconds);
    await send(0, EndpointAnswerKind.Welcome, undefined);
    await closed;
    counters.connections -= 1;
    for (const watch of watches.values()) {
        watch.abort();
    }
}
