import type { Workspace } from "../../workspaces/types/Workspace.js";
import type { GroupSettings } from "./GroupSettings.js";
import type { Route } from "./Route.js";

/** One version of the operator's configuration. */
export interface RoutingTable {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly groups: readonly GroupSettings[];
    /** The workspaces whose keys are accepted; left out when callers need no key. */
    readonly workspaces?: readonly Workspace[];
    /** A transaction that is idle for longer may be rolled back. */
    readonly idleTransactionMilliseconds: number;
}
