import type { StandInWorkspace } from "../platform/standIns/types/StandInWorkspace.js";

/** The workspaces of a soak test with workspaces; the callers are spread over them. */
export const soakWorkspaces: readonly StandInWorkspace[] = [
    { name: "museums", key: "mkey6kq0xv2" },
    { name: "schools", key: "skey1zc8wt5" },
    { name: "libraries", key: "lkey4hn7pb9" },
    { name: "theatres", key: "tkey3fd5yr1" },
];
