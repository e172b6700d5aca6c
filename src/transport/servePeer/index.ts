import { encode } from "@msgpack/msgpack";
import { type AnyTRPCRouter, callTRPCProcedure } from "@trpc/server";
import { randomBytes, timingSafeEqual } from "node:crypto";
import type { WebSocket } from "ws";
import { waitAbortReason } from "../../clock/waitAbortReason.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Logger } from "../../logging/types/Logger.js";
import { createWorkTracker } from "../../waiting/createWorkTracker/index.js";
import { transportConstants } from "../constants.js";
import { createPeerProof } from "../createPeerProof/index.js";
import { decodeFrame } from "../decodeFrame/index.js";
import { serializeError } from "../serializeError/index.js";
import type { Frame } from "../types/Frame.js";
import { FrameKind } from "../types/FrameKind.js";
import type { PeerContext } from "../types/PeerContext.js";
import type { ServedPeer } from "../types/ServedPeer.js";

type CallFrame = Extract<Frame, readonly [FrameKind.Call, ...unknown[]]>;

/** Options of `servePeer`. */
interface ServePeerOptions {
    readonly peerSecret: string;
    readonly router: AnyTRPCRouter;
    readonly events: EventRecorder;
    readonly logger: Logger;
    /** Called when the peer has proven that it knows the secret. */
    readonly onProven?: () => void;
}

/**
 * Serves one connection of a peer: authenticates the peer, then executes its calls concurrently.
 *
 * @param socket The accepted connection.
 * @param options Shared secret, router, events and logger.
 * @returns The served connection, with which the server stops it.
 *
 * @example
 * server.on("connection", socket => peers.add(servePeer(socket, options)));
 */
export function servePeer(socket: WebSocket, options: ServePeerOptions): ServedPeer {
    const { router, events } = options;
    const log = options.logger.topic("transport");
    const nonce = randomBytes(16).toString("hex");
    const runningCalls = new Map<number, AbortController>();
    const acceptedCalls = createWorkTracker();
    const connectionEnd = new AbortController();
    let context: PeerContext | undefined;
    let isStopping = false;

    function send(frame: Frame): void {
        if (socket.readyState === socket.OPEN) {
            socket.send(encode(frame, { ignoreUndefined: true }));
        }
    }

    function reject(error: unknown): void {
        const serialized = serializeError(error);
        log("peer rejected", { ...serialized });
        send([FrameKind.Reject, serialized]);
        socket.close();
    }

    function acceptHello(frame: Extract<Frame, readonly [FrameKind.Hello, ...unknown[]]>): void {
        const [, version, peerName, peerZone, proof] = frame;
        if (version !== transportConstants.protocolVersion) {
            throw createError(
                ErrorKind.ProtocolMismatch,
                `The peer speaks version ${version} of the protocol, this process ${transportConstants.protocolVersion}.`,
                { remedy: "Run versions of the product that speak the same protocol." },
            );
        }
        const expected = Buffer.from(createPeerProof(options.peerSecret, nonce, String(peerName)));
        const received = Buffer.from(String(proof));
        if (received.length !== expected.length || !timingSafeEqual(received, expected)) {
            throw createError(ErrorKind.PeerRejected, `Peer ${peerName} does not know the peer secret.`, {
                remedy: "Give every process of one installation the same `peerSecret` in its settings.",
            });
        }
        context = { peerName, peerZone, connectionEnd: connectionEnd.signal };
        options.onProven?.();
        send([FrameKind.Welcome]);
    }

    function acceptCall(frame: CallFrame): void {
        const [, id, type, path, , stamp] = frame;
        events.observe(stamp);
        if (isStopping) {
            send([FrameKind.Failure, id, serializeError(createStoppingError(path)), events.stamp()]);
        }
        else if (type === "subscription") {
            void execute(frame, sendItems);
        }
        else {
            void acceptedCalls.track(path, () => execute(frame, sendResult));
        }
    }

    async function execute(
        [, id, type, path, input]: CallFrame,
        sendAnswer: (id: number, data: unknown, signal: AbortSignal) => void | Promise<void>,
    ): Promise<void> {
        const controller = new AbortController();
        runningCalls.set(id, controller);
        try {
            const data: unknown = await callTRPCProcedure({
                router,
                path,
                type,
                ctx: context,
                getRawInput: async () => input,
                signal: controller.signal,
                batchIndex: 0,
            });
            await sendAnswer(id, data, controller.signal);
        }
        catch (error) {
            send([FrameKind.Failure, id, serializeError(error), events.stamp()]);
        }
        finally {
            runningCalls.delete(id);
        }
    }

    function sendResult(id: number, data: unknown): void {
        send([FrameKind.Result, id, data, events.stamp()]);
    }

    async function sendItems(id: number, items: unknown, signal: AbortSignal): Promise<void> {
        for await (const item of items as AsyncIterable<unknown>) {
            if (signal.aborted) {
                break;
            }
            send([FrameKind.Item, id, item, events.stamp()]);
        }
        send([FrameKind.Done, id]);
    }

    /** The error for a call that was not run; peers treat it like a call that was not sent. */
    function createStoppingError(path: string): Error {
        return createError(ErrorKind.Unreachable, `The call to ${path} was not run: the process is stopping.`, {
            remedy: "Call another process.",
        });
    }

    async function stop(): Promise<void> {
        isStopping = true;
        await Promise.race([acceptedCalls.whenIdle(), closed]);
        socket.close(transportConstants.goingAwayCloseCode);
        await closed;
    }

    const handlers: Partial<Record<FrameKind, (frame: Frame) => void>> = {
        [FrameKind.Call]: frame => acceptCall(frame as CallFrame),
        [FrameKind.Cancel]: frame => runningCalls.get(frame[1] as number)?.abort(waitAbortReason),
        [FrameKind.Ping]: () => send([FrameKind.Pong]),
    };

    socket.on("message", bytes => {
        try {
            const frame = decodeFrame(bytes as Buffer);
            if (context !== undefined) {
                handlers[frame[0]]?.(frame);
            }
            else if (frame[0] === FrameKind.Hello) {
                acceptHello(frame);
            }
            else {
                throw createError(ErrorKind.PeerRejected, "The peer did not begin with the handshake.", {
                    remedy: "Connect with a process of this product.",
                });
            }
        }
        catch (error) {
            reject(error);
        }
    });
    socket.on("error", () => socket.terminate());
    const closed = new Promise<void>(resolve => {
        socket.on("close", () => {
            connectionEnd.abort(waitAbortReason);
            for (const controller of runningCalls.values()) {
                controller.abort(waitAbortReason);
            }
            resolve();
        });
    });
    send([FrameKind.Challenge, transportConstants.protocolVersion, nonce]);
    return { stop, terminate: () => socket.terminate(), describeWork: acceptedCalls.describe, closed };
}
