import type { PooledSession } from "./PooledSession.js";

/** The connections of one VM to one endpoint. */
export interface EndpointSessions {
    /** Takes an idle connection, best one that has the values; undefined when none is idle. */
    take(values: ReadonlyMap<string, string>): PooledSession | undefined;
    /** Gives a connection back. */
    give(pooled: PooledSession): void;
    /** Starts to open a connection; false when the limit or a pause forbids it. */
    tryOpen(): boolean;
    /** Connections that are open, idle ones included. */
    open(): number;
    /** Connections that are being opened. */
    opening(): number;
    /** Whether the last attempt to open a connection failed and none is open. */
    isFailing(): boolean;
    /** Closes the idle connections, and each other one once it is given back. */
    close(): void;
}
