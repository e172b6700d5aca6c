import type { QuotaExchange } from "./QuotaExchange.js";
import type { Quotas } from "./Quotas.js";

/** All that one VM knows of quotas: its own operations, and as the holder the grants of all VMs. */
export interface VmQuotas extends Quotas, QuotaExchange {
    /** Records how many VMs are known now. */
    recordVmCount(count: number): void;
}
