import type { Socket } from "node:net";
import { transportConstants } from "../constants.js";

/** The connections whose peers have not proven that they know the secret. */
interface StrangerWatch {
    /** Watches a new connection. */
    add(socket: Socket): void;
    /** The peer of a connection has proven itself. */
    acquit(socket: Socket): void;
    count(): number;
}

/**
 * Creates the watch of strangers: connections whose peers have not proven that they know the secret. They may send
 * little, have to prove themselves soon, and there are few of them: a new one takes the place of the oldest.
 *
 * @param onClosed Called for each connection that is closed, with the reason.
 * @returns The watch, without connections.
 *
 * @example
 * const strangers = createStrangerWatch(reason => log("stranger was disconnected", { reason }));
 */
export function createStrangerWatch(onClosed: (reason: string) => void): StrangerWatch {
    const { maximumStrangers, strangerBytes, proofTimeoutMilliseconds } = transportConstants;
    /** Functions that end the watch of a connection, in the order in which these were accepted. */
    const strangers = new Map<Socket, () => void>();

    function add(socket: Socket): void {
        const [oldest] = strangers.keys();
        if (oldest !== undefined && strangers.size >= maximumStrangers) {
            close(oldest, "another one has taken its place");
        }
        const timer = setTimeout(() => close(socket, "it has not proven itself in time"), proofTimeoutMilliseconds);
        const checkBytes = (): void => {
            if (socket.bytesRead > strangerBytes) {
                close(socket, "it has sent too much");
            }
        };
        socket.prependListener("data", checkBytes);
        socket.once("close", () => acquit(socket));
        strangers.set(socket, () => {
            clearTimeout(timer);
            socket.off("data", checkBytes);
        });
    }

    function close(socket: Socket, reason: string): void {
        acquit(socket);
        socket.destroy();
        onClosed(reason);
    }

    function acquit(socket: Socket): void {
        strangers.get(socket)?.();
        strangers.delete(socket);
    }

    return { add, acquit, count: () => strangers.size };
}
