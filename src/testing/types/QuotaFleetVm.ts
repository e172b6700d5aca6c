import type { QuotaOutcome } from "../../quotas/types/QuotaOutcome.js";
import type { VmQuotas } from "../../quotas/types/VmQuotas.js";

/** A VM of a fleet that shares quotas. */
export interface QuotaFleetVm {
    readonly name: string;
    /** What this process knows of quotas; replaced at a restart. */
    quotas: VmQuotas;
    incarnation: number;
    isRunning: boolean;
    /** Events that wait until the VM runs again. */
    deferred: (() => void)[];
    /** Time for which the monotonic clock stood still, in milliseconds. */
    suspendedMilliseconds: number;
    /** Whether calls between this VM and all others fail. */
    isCut: boolean;
    /** Token and index of the holder known to the VM. */
    holder: { readonly token: number; readonly index: number; };
    /** Reads of the store that showed the VM as the holder: when the last began, by both clocks. */
    verified: (() => number) | undefined;
    operationsPerSecond: number;
    readonly outcomes: Map<QuotaOutcome, number>;
}
