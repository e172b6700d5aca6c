import { encode } from "@msgpack/msgpack";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { openFrameSocket } from "../../network/openFrameSocket/index.js";
import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { transportConstants } from "../constants.js";
import { createHeartbeat } from "../createHeartbeat/index.js";
import { decodeFrame } from "../decodeFrame/index.js";
import { deserializeError } from "../deserializeError/index.js";
import { performHandshake } from "../performHandshake/index.js";
import type { Frame } from "../types/Frame.js";
import { FrameKind } from "../types/FrameKind.js";
import type { PeerConnection } from "../types/PeerConnection.js";
import type { PeerIdentity } from "../types/PeerIdentity.js";

/** Options of `openPeerConnection`. */
interface OpenPeerConnectionOptions {
    readonly identity: PeerIdentity;
    readonly conditions: NetworkConditions;
    readonly events: EventRecorder;
}

/** Receives the answer of a call or the items of a subscription. */
interface PendingCall {
    next(item: unknown): void;
    error(error: unknown): void;
    complete(): void;
}

/**
 * Opens a connection to a peer, proves the shared secret and checks the protocol version.
 *
 * @param address Address of the peer.
 * @param options Identity of this process, network conditions and the event recorder.
 * @returns The calling side of the connection.
 * @throws TarragonpostError of kind `Unreachable`, `ProtocolMismatch` or `PeerRejected`.
 *
 * @example
 * const connection = await openPeerConnection(address, { identity, conditions, events });
 */
export async function openPeerConnection(
    address: Address,
    options: OpenPeerConnectionOptions,
): Promise<PeerConnection> {
    const { identity, events } = options;
    const socket = await openFrameSocket(address, {
        conditions: options.conditions,
        timeoutMilliseconds: transportConstants.connectTimeoutMilliseconds,
    });
    const pending = new Map<number, PendingCall>();
    let lastId = 0;
    let isClosed = false;
    let lastCallAt = performance.now();

    function send(frame: Frame): void {
        socket.send(encode(frame, { ignoreUndefined: true }));
    }

    /** A peer that stops has run no call that it has not answered. */
    function createClosedError(closeCode: number): Error {
        if (closeCode === transportConstants.goingAwayCloseCode) {
            return createError(
                ErrorKind.Unreachable,
                `${address.host}:${address.port} stopped before it ran the call.`,
                {
                    remedy: "Call another process.",
                },
            );
        }
        return createError(
            ErrorKind.ConnectionClosed,
            `The connection to ${address.host}:${address.port} was closed.`,
            {
                remedy: "Retry if the call is idempotent; the next call opens a new connection.",
            },
        );
    }

    const handlers: Partial<Record<FrameKind, (frame: Frame) => void>> = {
        [FrameKind.Result]: frame => {
            const [, id, data, stamp] = frame as Extract<Frame, readonly [FrameKind.Result, ...unknown[]]>;
            events.observe(stamp);
            const call = pending.get(id);
            pending.delete(id);
            call?.next(data);
            call?.complete();
        },
        [FrameKind.Item]: frame => {
            const [, id, data, stamp] = frame as Extract<Frame, readonly [FrameKind.Item, ...unknown[]]>;
            events.observe(stamp);
            pending.get(id)?.next(data);
        },
        [FrameKind.Failure]: frame => {
            const [, id, error, stamp] = frame as Extract<Frame, readonly [FrameKind.Failure, ...unknown[]]>;
            events.observe(stamp);
            const call = pending.get(id);
            pending.delete(id);
            call?.error(deserializeError(error));
        },
        [FrameKind.Done]: frame => {
            const [, id] = frame as Extract<Frame, readonly [FrameKind.Done, ...unknown[]]>;
            const call = pending.get(id);
            pending.delete(id);
            call?.complete();
        },
    };

    await performHandshake(socket, identity, address);
    const heartbeat = createHeartbeat({ hasPendingCalls: () => pending.size > 0, ping, onUnresponsive: socket.close });
    socket.onFrame(bytes => {
        heartbeat.recordFrame();
        try {
            const frame = decodeFrame(bytes);
            handlers[frame[0]]?.(frame);
        }
        catch {
            // The connection is closed after a frame that is not of the protocol.
            socket.close();
        }
    });
    const closed = socket.closed.then(closeCode => {
        isClosed = true;
        heartbeat.stop();
        const calls = [...pending.values()];
        pending.clear();
        for (const call of calls) {
            call.error(createClosedError(closeCode));
        }
    });

    /** Closes an idle connection instead: a large fleet's pings on idle connections would cost more than its calls. */
    function ping(): void {
        if (pending.size === 0 && performance.now() - lastCallAt > transportConstants.idleTimeoutMilliseconds) {
            isClosed = true;
            socket.close();
            return;
        }
        send([FrameKind.Ping]);
    }

    function start(
        type: "query" | "mutation" | "subscription",
        path: string,
        input: unknown,
        call: PendingCall,
    ): number {
        if (isClosed || !socket.isOpen()) {
            call.error(
                createError(
                    ErrorKind.Unreachable,
                    `The call to ${path} was not sent: the connection was already closed.`,
                    {
                        remedy: "Retry; the next call opens a new connection.",
                    },
                ),
            );
            return 0;
        }
        lastId += 1;
        lastCallAt = performance.now();
        pending.set(lastId, call);
        send([FrameKind.Call, lastId, type, path, input, events.stamp()]);
        return lastId;
    }

    function cancel(id: number): void {
        if (pending.delete(id) && !isClosed) {
            send([FrameKind.Cancel, id]);
        }
    }

    function call(type: "query" | "mutation", path: string, input: unknown, signal?: AbortSignal): Promise<unknown> {
        return new Promise((resolve, reject) => {
            const abortCall = (): void => {
                cancel(id);
                reject(
                    createError(ErrorKind.DeadlineExceeded, `The call to ${path} was aborted before it was answered.`, {
                        remedy: "Allow more time, or look up the outcome under the request key.",
                    }),
                );
            };
            const finish = (deliver: () => void): void => {
                signal?.removeEventListener("abort", abortCall);
                deliver();
            };
            const id = start(type, path, input, {
                next: data => finish(() => resolve(data)),
                error: error => finish(() => reject(error)),
                complete: () => {},
            });
            signal?.addEventListener("abort", abortCall, { once: true });
        });
    }

    function subscribe(path: string, input: unknown, observer: PendingCall): () => void {
        const id = start("subscription", path, input, observer);
        return () => cancel(id);
    }

    return { call, subscribe, close: socket.close, closed };
}
