import type { OpeningWish } from "./OpeningWish.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import type { PooledSession } from "./PooledSession.js";

/**
 * The pool of connections of one VM to one endpoint. Without an owner, any connection serves, and one in nobody's name is
 * opened.
 */
export interface EndpointSessionPool {
    /** Takes an idle connection of an owner, preferably one without conflicting values; undefined when none is idle. */
    acquire(values: ReadonlyMap<string, string>, owner?: string, priority?: number): PooledSession | undefined;
    /** Returns a connection to the pool. */
    release(pooled: PooledSession): void;
    /**
     * Starts to open a connection in an owner's name, in place of an idle one of another owner if need be; returns false
     * when the limit, a pause or other openings do not allow it.
     */
    tryOpen(owner?: string): boolean;
    /** Starts to open a connection that no statement waits for, in free room only; returns whether it did. */
    tryOpenAhead(owner: string): boolean;
    /**
     * Whether a connection for a waiting statement is being opened; starts to open one if need be.
     *
     * @param statement Owner and priority of the statement.
     * @param expectedCount Number of openings of the owner that earlier statements wait for.
     * @param mayReplace Whether an idle connection of another owner may be closed for it.
     */
    requestOpening(
        statement: Pick<PlacementRequest, "owner" | "priority">,
        expectedCount: number,
        mayReplace: boolean,
    ): boolean;
    /** Records that an owner without an opening needs a connection; one that is released or rested makes room for it. */
    recordWish(wish: OpeningWish, expiresAt: number): void;
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
