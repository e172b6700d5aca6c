import { decode } from "@msgpack/msgpack";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Frame } from "../types/Frame.js";
import { FrameKind } from "../types/FrameKind.js";

/**
 * Decodes one frame from a peer.
 *
 * @param bytes The frame as received.
 * @returns The frame; its first element is a known kind.
 * @throws TarragonpostError of kind `ProtocolMismatch` when the bytes are not a frame of this protocol.
 *
 * @example
 * const frame = decodeFrame(bytes);
 */
export function decodeFrame(bytes: Uint8Array): Frame {
    try {
        const frame = decode(bytes);
        if (Array.isArray(frame) && FrameKind[frame[0] as number] !== undefined) {
            return frame as unknown as Frame;
        }
    }
    catch {
        // The error below covers undecodable bytes too.
    }
    throw createError(ErrorKind.ProtocolMismatch, "Received a frame that is not of this protocol.", {
        remedy: "Check which program connects to this port.",
    });
}
