import { once } from "node:events";
import { WebSocket } from "ws";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../types/Address.js";
import type { FrameSocket } from "../types/FrameSocket.js";
import type { NetworkConditions } from "../types/NetworkConditions.js";
import { wrapSocket } from "../wrapSocket/index.js";

/** Options of `openFrameSocket`. */
interface OpenFrameSocketOptions {
    readonly conditions: NetworkConditions;
    readonly timeoutMilliseconds: number;
    /** Path of the WebSocket URL. */
    readonly path?: string;
}

/**
 * Opens a WebSocket that carries binary frames, with the emulated network applied to both directions.
 *
 * @param address Address to connect to.
 * @param options Network conditions, the time limit in milliseconds and the URL path.
 * @returns The open socket.
 * @throws TarragonpostError of kind `Unreachable` when no connection was made within the time limit.
 *
 * @example
 * const socket = await openFrameSocket(address, { conditions, timeoutMilliseconds: 500 });
 */
export async function openFrameSocket(address: Address, options: OpenFrameSocketOptions): Promise<FrameSocket> {
    const { conditions, timeoutMilliseconds } = options;
    const label = `${address.host}:${address.port}`;
    const link = conditions.linkBetween(conditions.localZone, address.availabilityZone);
    const createUnreachableError = (cause: unknown) =>
        createError(ErrorKind.Unreachable, `No connection to ${label} within ${timeoutMilliseconds} ms.`, {
            remedy: "Check that the process runs there and that its availability zone is not cut off.",
            cause,
        });
    if (link.isCut) {
        throw createUnreachableError("the link is cut");
    }
    const openedAt = Date.now();
    const socket = new WebSocket(`ws://${label}${options.path ?? "/"}`, {
        handshakeTimeout: timeoutMilliseconds,
        perMessageDeflate: false,
    });
    const wrapped = wrapSocket(socket, { conditions, remoteZone: address.availabilityZone, openedAt });
    try {
        await once(socket, "open");
        if (link.delayMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, 2 * link.delayMilliseconds));
        }
    }
    catch (cause) {
        socket.terminate();
        throw createUnreachableError(cause);
    }
    return wrapped;
}
