import type { Workspace } from "../../workspaces/types/Workspace.js";
import type { QuotaDecision } from "./QuotaDecision.js";

/** The quotas of workspaces, which hold for all VMs together. */
export interface Quotas {
    /**
     * Asks for one operation of a workspace. The decision is immediate unless operations of the quota are about to become
     * available; it then comes within `quotaConstants.maximumWaitMilliseconds`.
     */
    take(workspace: Workspace): QuotaDecision | Promise<QuotaDecision>;
}
