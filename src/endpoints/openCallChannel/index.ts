import { decode, encode } from "@msgpack/msgpack";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { openFrameSocket } from "../../network/openFrameSocket/index.js";
import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { createHeartbeat } from "../../transport/createHeartbeat/index.js";
import { deserializeError } from "../../transport/deserializeError/index.js";
import type { SerializedError } from "../../transport/types/SerializedError.js";
import type { CallChannel } from "../types/CallChannel.js";
import type { EndpointAnswerFrame } from "../types/EndpointAnswerFrame.js";
import { EndpointAnswerKind } from "../types/EndpointAnswerKind.js";
import type { EndpointCallFrame } from "../types/EndpointCallFrame.js";
import { EndpointCallKind } from "../types/EndpointCallKind.js";

/** Options of `openCallChannel`. */
interface OpenCallChannelOptions {
    readonly address: Address;
    readonly conditions: NetworkConditions;
    readonly timeoutMilliseconds: number;
}

type CallObserver = Parameters<CallChannel["observe"]>[2];

/**
 * Opens a connection to an endpoint and matches its answers to calls by id.
 *
 * @param endpoint Name of the endpoint, for error messages.
 * @param options Address, network conditions and timeout in milliseconds.
 * @returns The channel, after the welcome frame of the endpoint was received.
 * @throws TarragonpostError of kind `ConnectionLimitReached`, `Unreachable` or `DeadlineExceeded`.
 *
 * @example
 * const channel = await openCallChannel("stock-1", { address, conditions, timeoutMilliseconds: 500 });
 */
export async function openCallChannel(endpoint: string, options: OpenCallChannelOptions): Promise<CallChannel> {
    const { address, conditions, timeoutMilliseconds } = options;
    const openedAt = performance.now();
    const socket = await openFrameSocket(address, { conditions, timeoutMilliseconds });
    const observers = new Map<number, CallObserver>();
    const leavingListeners = new Set<() => void>();
    let lastId = 0;
    let isClosed = false;
    let isLeaving = false;

    function createClosedError(): Error {
        return createError(ErrorKind.ConnectionClosed, `The connection to endpoint ${endpoint} was closed.`, {
            remedy: "Open a new connection; look up the outcome of a write under its request key.",
        });
    }

    function send(frame: EndpointCallFrame): void {
        socket.send(encode(frame, { ignoreUndefined: true }));
    }

    const welcomed = new Promise<void>((resolve, reject) => {
        observers.set(0, { answer: () => resolve(), fail: reject });
    });
    const handlers: Readonly<Record<EndpointAnswerKind, (observer: CallObserver, content: unknown) => void>> = {
        [EndpointAnswerKind.Welcome]: observer => observer.answer(undefined),
        [EndpointAnswerKind.ConnectionLimit]: observer =>
            observer.fail(createError(
                ErrorKind.ConnectionLimitReached,
                `Endpoint ${endpoint} accepts no further connections.`,
                { remedy: "Close a connection to it first, or use another endpoint." },
            )),
        [EndpointAnswerKind.Answer]: (observer, content) => observer.answer(content),
        [EndpointAnswerKind.Failure]: (observer, content) =>
            observer.fail(deserializeError(content as SerializedError)),
    };

    function receive(bytes: Uint8Array): void {
        heartbeat.recordFrame();
        const [id, kind, content, leaving] = decode(bytes) as EndpointAnswerFrame;
        const observer = observers.get(id);
        if (observer !== undefined) {
            handlers[kind]?.(observer, content);
        }
        if (leaving !== isLeaving) {
            isLeaving = leaving;
            for (const listener of leavingListeners) {
                listener();
            }
        }
    }

    function observe(kind: EndpointCallKind, content: unknown, observer: CallObserver): () => void {
        if (isClosed) {
            observer.fail(createClosedError());
            return () => {};
        }
        lastId += 1;
        const id = lastId;
        observers.set(id, observer);
        send([id, kind, content]);
        return () => {
            observers.delete(id);
            if (kind === EndpointCallKind.WatchStatus && !isClosed) {
                lastId += 1;
                send([lastId, EndpointCallKind.StopWatching, { id }]);
            }
        };
    }

    function call(kind: EndpointCallKind, content: unknown, callTimeoutMilliseconds: number): Promise<unknown> {
        return new Promise<unknown>((resolve, reject) => {
            let stopObserving = (): void => {};
            const timer = setTimeout(() => {
                stopObserving();
                reject(createDeadlineError(endpoint, callTimeoutMilliseconds));
                socket.close();
            }, callTimeoutMilliseconds);
            stopObserving = observe(kind, content, {
                answer: answered => {
                    clearTimeout(timer);
                    stopObserving();
                    resolve(answered);
                },
                fail: error => {
                    clearTimeout(timer);
                    stopObserving();
                    reject(error);
                },
            });
        });
    }

    const heartbeat = createHeartbeat({
        hasPendingCalls: () => observers.size > 0,
        ping: () => {
            lastId += 1;
            send([lastId, EndpointCallKind.Ping, undefined]);
        },
        onUnresponsive: socket.close,
    });
    const closed = socket.closed.then(() => {
        isClosed = true;
        heartbeat.stop();
        const pending = [...observers.values()];
        observers.clear();
        for (const observer of pending) {
            observer.fail(createClosedError());
        }
    });
    socket.onFrame(receive);
    const timer = setTimeout(() => {
        observers.get(0)?.fail(createDeadlineError(endpoint, timeoutMilliseconds));
    }, Math.max(0, timeoutMilliseconds - (performance.now() - openedAt)));
    try {
        await welcomed;
    }
    catch (error) {
        socket.close();
        throw error;
    }
    finally {
        clearTimeout(timer);
        observers.delete(0);
    }

    function onLeavingChange(listener: () => void): () => void {
        leavingListeners.add(listener);
        return () => leavingListeners.delete(listener);
    }

    return { call, observe, onLeavingChange, isLeaving: () => isLeaving, close: socket.close, closed };
}

function createDeadlineError(endpoint: string, timeoutMilliseconds: number): Error {
    return createError(
        ErrorKind.DeadlineExceeded,
        `Endpoint ${endpoint} did not answer within ${timeoutMilliseconds} ms.`,
        { remedy: "Look up the outcome of a write under its request key, then retry on another connection." },
    );
}
