import type { Clock } from "../../clock/types/Clock.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { Service } from "../../kernel/types/Service.js";
import { quotaConstants } from "../constants.js";
import type { QuotaExchange } from "../types/QuotaExchange.js";
import type { Quotas } from "../types/Quotas.js";
import type { VmQuotas } from "../types/VmQuotas.js";

/** Options of `createQuotas`. */
interface QuotasOptions {
    readonly clock: Clock;
    /** Name of this VM. */
    readonly name: string;
    readonly vmQuotas: VmQuotas;
    readonly duty: Pick<Duty, "isCertainHolder" | "hostVms" | "otherVms">;
}

/**
 * Creates the quotas of workspaces at one VM. While this VM is the holder of the failover duty, it answers its own demands,
 * because it sends no renewals.
 *
 * @param options Clock, name, the demands and grants of this VM, and its duty.
 * @returns The quotas, not started yet.
 *
 * @example
 * const decision = await quotas.take(workspace);
 */
export function createQuotas({ clock, name, vmQuotas, duty }: QuotasOptions): Quotas & Service {
    const end = new AbortController();
    const self: Parameters<QuotaExchange["answerDemands"]>[0] = { name, incarnation: "itself" };

    async function runLoop(): Promise<void> {
        while (!end.signal.aborted) {
            recordVmCount();
            if (duty.isCertainHolder()) {
                grantToSelf();
            }
            await clock.sleep(quotaConstants.ownGrantMilliseconds, end.signal);
        }
    }

    /** A VM that does not know the others yet can admit nothing without a grant. */
    function recordVmCount(): void {
        if (duty.hostVms().length > 0) {
            vmQuotas.recordVmCount(duty.otherVms().length + 1);
        }
    }

    function grantToSelf(): void {
        const demands = vmQuotas.createDemands();
        vmQuotas.recordRenewal(name, demands !== undefined);
        const grants = demands && vmQuotas.answerDemands(self, demands);
        if (grants !== undefined) {
            vmQuotas.applyGrants(grants);
        }
    }

    return {
        take: vmQuotas.take,
        start: async () => void runLoop(),
        stop: async () => end.abort(),
    };
}
