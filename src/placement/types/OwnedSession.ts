import type { PooledSession } from "./PooledSession.js";

/** A pooled connection, and in whose name it was opened. */
export interface OwnedSession extends PooledSession {
    /** Name of a workspace, or `anonymousOwner`. */
    readonly owner: string;
    /** When it was opened, on this VM's clock in milliseconds. */
    readonly openedAt: number;
    /** Priority of the statement of its owner that it served last, or for which it was opened. */
    priority: number;
    /** When it last finished serving its owner, on this VM's clock in milliseconds; undefined before the first time. */
    lastServedAt: number | undefined;
    /** Whether it is acquired for its owner; false also while it serves a statement of this program. */
    isServingOwner: boolean;
}
