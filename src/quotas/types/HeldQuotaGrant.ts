import type { Quota } from "../../workspaces/types/Quota.js";
import type { QuotaGrant } from "./QuotaGrant.js";

/** Grant that a VM reports as not ended, so that a new holder can go on with it. */
export type HeldQuotaGrant = Pick<QuotaGrant, "operationsPerSecond" | "maximumOperations"> & {
    /** The quota that the grant is a part of. */
    readonly quota: Quota;
};
