import type { Predecessor } from "./Predecessor.js";

/** What a VM learns of a new holder of the failover duty, or of a new token of the same one. */
export interface HolderChange {
    readonly token: number;
    readonly isSelf: boolean;
    /** Whether this VM was the holder until now. */
    readonly wasSelf: boolean;
    readonly predecessor: Predecessor;
}
