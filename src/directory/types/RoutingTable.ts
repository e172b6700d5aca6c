import type { GroupSettings } from "./GroupSettings.js";
import type { Route } from "./Route.js";

/** One version of the operator's configuration. */
export interface RoutingTable {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly groups: readonly GroupSettings[];
    /** A transaction that is idle for longer may be rolled back. */
    readonly idleTransactionMilliseconds: number;
}
