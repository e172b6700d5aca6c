import { randomBytes } from "node:crypto";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { PlatformStore } from "../../directory/types/PlatformStore.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { createGrantRecord } from "../../quotas/createGrantRecord/index.js";
import { createQuotaAccount } from "../../quotas/createQuotaAccount/index.js";
import { createQuotaGranter } from "../../quotas/createQuotaGranter/index.js";
import { createQuotas } from "../../quotas/createQuotas/index.js";
import type { VmQuotas } from "../../quotas/types/VmQuotas.js";
import type { VmSettings } from "../types/VmSettings.js";

/** Random bytes in the name of a granter. */
const nameBytes = 4;

/**
 * Lists the services that hold the quotas of workspaces for all VMs together.
 *
 * @param settings Settings of the VM.
 * @returns The definitions of the services, for a kernel.
 *
 * @example
 * const definitions = listQuotaServices(settings);
 */
export function listQuotaServices({ name, quotaExcess: excess }: VmSettings): ServiceDefinition[] {
    return [
        {
            name: ServiceName.QuotaExchange,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Directory,
                ServiceName.PlatformStore,
                ServiceName.Metrics,
                ServiceName.Logger,
            ],
            create: (
                clock: Clock,
                directory: Directory,
                store: PlatformStore,
                metrics: Metrics,
                logger: Logger,
            ): VmQuotas => {
                const shared = { clock, excess, metrics, log: logger.topic("quotas") };
                const granter = `${name}-${randomBytes(nameBytes).toString("hex")}`;
                return {
                    ...createQuotaAccount(shared),
                    ...createQuotaGranter({
                        ...shared,
                        name: granter,
                        record: createGrantRecord({ ...shared, records: store.records, granter }),
                        quotaOf: workspace => directory.quotaOf(workspace),
                    }),
                };
            },
        },
        {
            name: ServiceName.Quotas,
            dependencies: [ServiceName.Clock, ServiceName.QuotaExchange, ServiceName.Duty],
            create: (clock: Clock, vmQuotas: VmQuotas, duty: Duty) => createQuotas({ clock, name, vmQuotas, duty }),
        },
    ];
}
