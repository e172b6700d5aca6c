import { encode } from "@msgpack/msgpack";
import { type AnyTRPCRouter, callTRPCProcedure } from "@trpc/server";
import { randomBytes, timingSafeEqual } from "node:crypto";
import type { WebSocket } from "ws";
import { waitAbortReason } from "../../clock/waitAbortReason.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Logger } from "../../logging/types/Logger.js";
import { transportConstants } from "../constants.js";
import { createPeerProof } from "../createPeerProof/index.js";
import { decodeFrame } from "../decodeFrame/index.js";
import { serializeError } from "../serializeError/index.js";
import type { Frame } from "../types/Frame.js";
import { FrameKind } from "../types/FrameKind.js";
import type { PeerContext } from "../types/PeerContext.js";

/** Options of `servePeer`. */
interface ServePeerOptions {
    readonly peerSecret: string;
    readonly router: AnyTRPCRouter;
    readonly events: EventRecorder;
    readonly logger: Logger;
}

/**
 * Serves one connection of a peer: authenticates the peer, then executes its calls concurrently.
 *
 * @param socket The accepted connection.
 * @param options Shared secret, router, events and logger.
 *
 * @example
 * server.on("connection", socket => servePeer(socket, options));
 */
export function servePeer(socket: WebSocket, options: ServePeerOptions): void {
    const { router, events } = options;
    const log = options.logger.topic("transport");
    const nonce = randomBytes(16).toString("hex");
    const runningCalls = new Map<number, AbortController>();
    const connectionEnd = new AbortController();
    let context: PeerContext | undefined;

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
        send([FrameKind.Welcome]);
    }

    async function executeCall(frame: Extract<Frame, readonly [FrameKind.Call, ...unknown[]]>): Promise<void> {
        const [, id, type, path, input, stamp] = frame;
        const controller = new AbortController();
        runningCalls.set(id, controller);
        events.observe(stamp);
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
            if (type !== "subscription") {
                send([FrameKind.Result, id, data, events.stamp()]);
                return;
            }
            for await (const item of data as AsyncIterable<unknown>) {
                if (controller.signal.aborted) {
                    break;
                }
                send([FrameKind.Item, id, item, events.stamp()]);
            }
            send([FrameKind.Done, id]);
        }
        catch (error) {
            send([FrameKind.Failure, id, serializeError(error), events.stamp()]);
        }
        finally {
            runningCalls.delete(id);
        }
    }

    const handlers: Partial<Record<FrameKind, (frame: Frame) => void>> = {
        [FrameKind.Call]: frame => void executeCall(frame as Extract<Frame, readonly [FrameKind.Call, ...unknown[]]>),
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
    socket.on("close", () => {
        connectionEnd.abort(waitAbortReason);
        for (const controller of runningCalls.values()) {
            controller.abort(waitAbortReason);
        }
    });
    send([FrameKind.Challenge, transportConstants.protocolVersion, nonce]);
}
