import type { OpeningWish } from "./OpeningWish.js";
import type { PooledSession } from "./PooledSession.js";

/**
 * The pool of connections of one VM to one endpoint. Without an owner, any connection serves, and one in nobody's name is
 * opened.
 */
export interface EndpointSessionPool {
    /** Takes an idle connection of an owner, preferably one without conflicting values; undefined when none is idle. */
    acquire(values: ReadonlyMap<string, string>, owner?: string): PooledSession | undefined;
    /** Returns a connection to the pool. */
    release(pooled: PooledSession): void;
    /**
     * Starts to open a connection in an owner's name, in place of an idle one of another owner if need be; returns false
     * when the limit, a pause or other openings do not allow it.
     */
    tryOpen(owner?: string): boolean;
    /** Starts to open a connection that no statement waits for, in free room only; returns whether it did. */
    tryOpenAhead(owner: string): boolean;
    /** Starts to open connections for waiting statements, first for the owners with the fewest connections. */
    requestOpenings(wishes: readonly OpeningWish[]): void;
    /** Number of open connections of an owner, or of all owners, including idle ones. */
    openCount(owner?: string): number;
    /** Whether the last attempt to open a connection failed and none is open. */
    isFailing(): boolean;
    /** Whether a connection is opened, or can be, while this VM leaves places to other VMs: one endpoint is enough then. */
    isOpeningSparingly(): boolean;
    /** Whether the endpoint's connection limit has left this VM without a connection for several attempts. */
    isLimitLasting(): boolean;
    /** Since when the endpoint has accepted no connection; undefined while one is open or none was refused. */
    failingSince(): number | undefined;
    /** Closes connections that have been idle for a while, unless this VM is meant to hold connections. */
    closeUnused(): void;
    /** Closes the idle connections, and every other connection when it is released. */
    close(): void;
}
