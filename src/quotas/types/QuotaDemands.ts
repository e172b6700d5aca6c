import type { QuotaDemand } from "./QuotaDemand.js";

/** Part of a renewal: what a VM asks of quotas, and which grants it follows. */
export interface QuotaDemands {
    /** Number of this request, which the answer repeats. */
    readonly request: number;
    /** The granter whose grants the VM applied last; left out before the first. */
    readonly granter?: string;
    /** Number of the grants that the VM applied last; it follows no earlier ones any more. */
    readonly appliedNumber: number;
    /** Whether the demands report the grants that have not ended; the VM does so while it lacks an answer of its holder. */
    readonly areGrantsReported: boolean;
    /** The workspaces with recent demand. */
    readonly demands: readonly QuotaDemand[];
}
