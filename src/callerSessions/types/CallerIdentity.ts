import type { Workspace } from "../../workspaces/types/Workspace.js";

/** In whose name a caller's statements run. */
export interface CallerIdentity {
    /** Name in which connections to endpoints are opened for the caller. */
    readonly owner: string;
    /** Left out when the route needs no key, and where there are no workspaces. */
    readonly workspace?: Workspace;
}
