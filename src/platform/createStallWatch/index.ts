import type { Socket } from "node:net";
import { hasStalled } from "../../callerSessions/hasStalled/index.js";
import type { ConnectionProgress } from "../../callerSessions/types/ConnectionProgress.js";

/** Looks at connections at intervals. */
interface StallWatch {
    /** Watches a connection until it is closed. */
    add(socket: Socket, read: () => ConnectionProgress): void;
    stop(): void;
}

/** A connection, and what had passed on it at the last look. */
interface WatchedConnection {
    readonly socket: Socket;
    readonly read: () => ConnectionProgress;
    before: ConnectionProgress;
}

/**
 * Creates the watch that closes connections whose peer has stopped half-way.
 *
 * @param intervalMilliseconds Time between two looks, within which a peer has to make progress.
 * @param onStalled Called for each connection that is closed.
 * @returns The watch, running until it is stopped.
 *
 * @example
 * const watch = createStallWatch(60_000, () => metrics.countConnectionLoss(ConnectionLoss.Stalled));
 */
export function createStallWatch(intervalMilliseconds: number, onStalled: () => void): StallWatch {
    const watched = new Set<WatchedConnection>();
    const timer = setInterval(() => watched.forEach(look), intervalMilliseconds).unref();

    function look(entry: WatchedConnection): void {
        const now = entry.read();
        if (hasStalled(entry.before, now)) {
            entry.socket.destroy();
            onStalled();
        }
        entry.before = now;
    }

    function add(socket: Socket, read: () => ConnectionProgress): void {
        const entry = { socket, read, before: read() };
        watched.add(entry);
        socket.once("close", () => watched.delete(entry));
    }

    return { add, stop: () => clearInterval(timer) };
}
