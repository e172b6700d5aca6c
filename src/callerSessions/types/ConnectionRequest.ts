import type { Route } from "../../directory/types/Route.js";
import type { SessionContext } from "./SessionContext.js";

/** Requirements of a statement or transaction on its connection. */
export interface ConnectionRequest {
    readonly route: Route;
    readonly session: SessionContext;
    /** Whether the statement or transaction only reads. */
    readonly isReadOnly: boolean;
    /** When the statement, or the one that began the transaction, was received. */
    readonly receivedAt: number;
    /** When the statement's time limit passes. */
    readonly expiresAt: number;
    /** Ids of endpoints that timed out in an earlier attempt. */
    readonly excluded: ReadonlySet<string>;
}
