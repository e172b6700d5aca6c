import type { PooledSession } from "./PooledSession.js";

/** The pool of connections of one VM to one endpoint. */
export interface EndpointSessionPool {
    /** Takes an idle connection, preferably one without conflicting values; undefined when none is idle. */
    acquire(values: ReadonlyMap<string, string>): PooledSession | undefined;
    /** Returns a connection to the pool. */
    release(pooled: PooledSession): void;
    /** Starts to open a connection; returns false when the limit or a pause does not allow it. */
    tryOpen(): boolean;
    /** Number of open connections, including idle ones. */
    openCount(): number;
    /** Number of connections that are being opened. */
    openingCount(): number;
    /** Whether the last attempt to open a connection failed and none is open. */
    isFailing(): boolean;
    /** Whether this VM has one connection at most and keeps no unused one, because other VMs need the places too. */
    isSparing(): boolean;
    /** Whether the endpoint's connection limit has left this VM without a connection for several attempts. */
    isLimitLasting(): boolean;
    /** Since when the endpoint has accepted no connection; undefined while one is open or none was refused. */
    failingSince(): number | undefined;
    /** Closes connections that have been idle for a while, unless this VM is meant to hold connections. */
    closeUnused(): void;
    /** Closes the idle connections, and every other connection when it is released. */
    close(): void;
}
