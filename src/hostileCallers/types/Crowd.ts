import type { Socket } from "node:net";

/** Connections of clients that do not behave. */
export interface Crowd {
    readonly sockets: readonly Socket[];
    /** Number of connections that are open. */
    openCount(): number;
    /** Resolves when no byte passes on any connection any more, or all have ended. */
    settled(): Promise<void>;
    /** Ends all connections. */
    stop(): void;
}
