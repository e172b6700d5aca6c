import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { QuotaDemands } from "./QuotaDemands.js";
import type { QuotaGrants } from "./QuotaGrants.js";

/** The part of the quotas that is exchanged with renewals. */
export interface QuotaExchange {
    /** Creates the demands of this VM for a renewal that is sent next; undefined when it asks for nothing. */
    createDemands(): QuotaDemands | undefined;
    /** Applies grants that answer the last demands. */
    applyGrants(grants: QuotaGrants): void;
    /**
     * Answers the demands of a VM; only the holder that is certain to be the only one may call it. Undefined while a
     * predecessor may still make grants.
     */
    answerDemands(vm: Pick<VmIdentity, "name" | "incarnation">, demands: QuotaDemands): QuotaGrants | undefined;
    /** Records that a VM has sent this holder a renewal, and whether it asks for a quota. */
    recordRenewal(vm: string, hasDemands: boolean): void;
    /**
     * Forgets all grants because this VM becomes the holder.
     *
     * @param predecessorEndsAt Time after which no predecessor makes a grant, by the monotonic clock in milliseconds.
     */
    startGranting(predecessorEndsAt: number): void;
}
