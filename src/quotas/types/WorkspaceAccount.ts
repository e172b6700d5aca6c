import type { Quota } from "../../workspaces/types/Quota.js";
import type { QuotaDecision } from "./QuotaDecision.js";
import type { QuotaDemand } from "./QuotaDemand.js";
import type { QuotaGrant } from "./QuotaGrant.js";

/** Account of one workspace at one VM. */
export interface WorkspaceAccount {
    /** Decides on one operation under the quota in force at this VM. */
    take(quota: Quota): QuotaDecision | Promise<QuotaDecision>;
    /** Time since the last operation came, or 0 while one waits, in milliseconds. */
    idleMilliseconds(): number;
    /** Creates what this VM asks for; with `isGrantReported`, also what it was granted. */
    createDemand(isGrantReported: boolean): QuotaDemand;
    /**
     * Applies a grant.
     *
     * @param grant The grant.
     * @param elapsed Returns the time since before the demand was sent, in milliseconds.
     * @param isContinuation Whether the grant only continues the present one.
     */
    apply(grant: QuotaGrant, elapsed: () => number, isContinuation: boolean): void;
    /** Ends the grant at once. */
    end(): void;
}
