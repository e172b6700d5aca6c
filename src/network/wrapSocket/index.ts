import type { WebSocket } from "ws";
import { createDelayLine } from "../createDelayLine/index.js";
import type { FrameSocket } from "../types/FrameSocket.js";
import type { NetworkConditions } from "../types/NetworkConditions.js";

/** Options of `wrapSocket`. */
interface WrapSocketOptions {
    readonly conditions: NetworkConditions;
    readonly remoteZone: string;
    /** Wall time of the connection attempt; connections opened after a link was silenced are not affected. */
    readonly openedAt: number;
}

/**
 * Wraps the client side of a WebSocket and applies the emulated network to both directions.
 *
 * @param socket The socket, open or opening.
 * @param options Network conditions, the other side's availability zone and the opening time.
 * @returns A socket of whole frames.
 *
 * @example
 * const frames = wrapSocket(socket, { conditions, remoteZone: "ga-south-1", openedAt: Date.now() });
 */
export function wrapSocket(socket: WebSocket, options: WrapSocketOptions): FrameSocket {
    const { conditions, remoteZone, openedAt } = options;
    const { localZone } = conditions;
    const outgoingLink = () => conditions.linkBetween(localZone, remoteZone);
    const incomingLink = () => conditions.linkBetween(remoteZone, localZone);
    const sendLater = createDelayLine(() => outgoingLink().delayMilliseconds);
    const receiveLater = createDelayLine(() => incomingLink().delayMilliseconds);
    const listeners: ((frame: Uint8Array) => void)[] = [];
    const undeliveredFrames: Uint8Array[] = [];
    let isTerminated = false;

    function isSilent(silentSince: number | undefined): boolean {
        return silentSince !== undefined && openedAt <= silentSince;
    }

    function send(frame: Uint8Array): void {
        conditions.countBytes(localZone, remoteZone, frame.byteLength);
        sendLater(() => {
            if (!isSilent(outgoingLink().silentSince) && socket.readyState === socket.OPEN) {
                socket.send(frame);
            }
        });
    }

    function receive(frame: Uint8Array): void {
        conditions.countBytes(remoteZone, localZone, frame.byteLength);
        receiveLater(() => {
            if (isSilent(incomingLink().silentSince)) {
                return;
            }
            if (listeners.length === 0) {
                undeliveredFrames.push(frame);
            }
            for (const listener of listeners) {
                listener(frame);
            }
        });
    }

    function onFrame(listener: (frame: Uint8Array) => void): void {
        listeners.push(listener);
        for (const frame of undeliveredFrames.splice(0)) {
            listener(frame);
        }
    }

    function terminate(): void {
        isTerminated = true;
        socket.terminate();
    }

    const stopWatching = conditions.onChange(() => {
        if (outgoingLink().isCut || incomingLink().isCut) {
            terminate();
        }
    });
    const closed = new Promise<number>(resolve => {
        socket.once("close", code => {
            stopWatching();
            if (isTerminated) {
                resolve(code);
                return;
            }
            // Frames that the other side sent before it closed the connection arrive first.
            receiveLater(() => resolve(code));
        });
    });
    socket.on("message", data => receive(data as Buffer));
    socket.on("error", () => socket.terminate());
    return {
        send,
        onFrame,
        close: terminate,
        isOpen: () => socket.readyState === socket.OPEN,
        closed,
    };
}
