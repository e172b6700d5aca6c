import type { Route } from "../../directory/types/Route.js";
import type { SessionContext } from "./SessionContext.js";

/** What a statement or transaction needs of an endpoint. */
export interface LeaseRequest {
    readonly route: Route;
    readonly session: SessionContext;
    /** Whether nothing of it writes. */
    readonly isReadOnly: boolean;
    /** When its first byte was received. */
    readonly receivedAt: number;
    /** When its time limit ends. */
    readonly expiresAt: number;
    /** Endpoints that were tried in vain. */
    readonly excluded: ReadonlySet<string>;
}
