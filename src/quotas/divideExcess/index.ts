import type { Quota } from "../../workspaces/types/Quota.js";
import { quotaConstants } from "../constants.js";
import type { QuotaExcess } from "../types/QuotaExcess.js";

/** How the excess over a quota is divided. */
interface ExcessBudget {
    /** Operations that VMs may hold beyond the burst of the quota, so that each can hold one. */
    readonly heldOperations: number;
    /** Operations that all VMs together may admit in a window without a grant. */
    readonly ungrantedOperations: number;
}

const millisecondsPerSecond = 1_000;

/**
 * Divides the excess over a quota between operations that VMs hold beyond its burst and operations without a grant.
 *
 * @param quota The quota.
 * @param excess The excess that may be admitted in a window.
 * @returns The parts, which together do not exceed the excess.
 *
 * @example
 * divideExcess({ operationsPerSecond: 100, burstOperations: 100 }, excess); // => { heldOperations: 12, ... }
 */
export function divideExcess(quota: Quota, excess: QuotaExcess): ExcessBudget {
    const { maximumReservedVms, reservedExcessShare } = quotaConstants;
    const admitted = quota.operationsPerSecond * excess.windowMilliseconds / millisecondsPerSecond
        + quota.burstOperations;
    const operations = admitted * excess.share + excess.operations;
    const heldOperations = Math.min(maximumReservedVms, operations * reservedExcessShare);
    return { heldOperations, ungrantedOperations: operations - heldOperations };
}
