import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerConnections } from "../types/CallerConnections.js";

/** Requests on one connection. */
interface ConnectionState {
    /** Requests whose headers were received and whose answers were not handed to the operating system yet. */
    readonly openRequests: Map<IncomingMessage, ServerResponse>;
    /** Bytes received until the last answer; more have been received while the next request is arriving. */
    bytesAtLastAnswer: number;
}

/**
 * Keeps account of a server's connections and of the requests on them, so that a stop closes none with a request.
 *
 * @param server The server, before its first connection.
 * @returns The connections.
 *
 * @example
 * const connections = createCallerConnections(server);
 * connections.closeWhenAnswered();
 * await connections.whenClosed();
 */
export function createCallerConnections(server: Server): CallerConnections {
    const connections = new Map<Socket, ConnectionState>();
    const closedListeners: (() => void)[] = [];
    let isClosing = false;

    server.on("connection", (socket: Socket) => {
        connections.set(socket, { openRequests: new Map(), bytesAtLastAnswer: 0 });
        socket.once("close", () => {
            connections.delete(socket);
            notifyIfClosed();
        });
    });
    server.on("request", (request, response) => {
        const { socket } = request;
        const state = connections.get(socket);
        state?.openRequests.set(request, response);
        response.once("close", () => {
            if (state !== undefined) {
                state.openRequests.delete(request);
                state.bytesAtLastAnswer = socket.bytesRead;
                closeIfIdle(socket, state);
            }
        });
    });

    function notifyIfClosed(): void {
        if (connections.size === 0) {
            closedListeners.splice(0).forEach(listener => listener());
        }
    }

    function closeIfIdle(socket: Socket, { openRequests, bytesAtLastAnswer }: ConnectionState): void {
        if (isClosing && openRequests.size === 0 && socket.bytesRead === bytesAtLastAnswer) {
            socket.destroySoon();
        }
    }

    function isRunning({ openRequests }: ConnectionState): boolean {
        return [...openRequests].some(([request, response]) => request.complete && !response.writableEnded);
    }

    function closeWhenAnswered(): void {
        isClosing = true;
        connections.forEach((state, socket) => closeIfIdle(socket, state));
    }

    function closeUnlessRunning(): void {
        for (const [socket, state] of connections) {
            if (!isRunning(state)) {
                socket.destroy();
            }
        }
    }

    function whenClosed(): Promise<void> {
        return new Promise(resolve => {
            closedListeners.push(resolve);
            notifyIfClosed();
        });
    }

    return { closeWhenAnswered, closeUnlessRunning, whenClosed };
}
