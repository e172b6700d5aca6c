import type { Clock } from "../../clock/types/Clock.js";
import { requestStop } from "../../commandLine/requestStop/index.js";
import type { GatewayConfiguration } from "../../configuration/types/GatewayConfiguration.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { FailoverService } from "../../failover/types/FailoverService.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { GatewaySettings } from "../../settings/types/GatewaySettings.js";
import { createFailoverGaps } from "../../status/createFailoverGaps/index.js";
import { createStatusRegistry } from "../../status/createStatusRegistry/index.js";
import { listGroups } from "../../status/listGroups/index.js";
import { ProcessKind } from "../../status/types/ProcessKind.js";
import type { StatusRegistry } from "../../status/types/StatusRegistry.js";
import type { GatewayTopology } from "../../topology/types/GatewayTopology.js";

/** Options of `createGatewayStatus`. */
interface GatewayStatusOptions {
    readonly settings: GatewaySettings;
    readonly configuration: GatewayConfiguration;
    readonly topology: GatewayTopology;
    readonly membership: MembershipService;
    readonly failover: FailoverService;
    readonly events: EventRecorder;
    readonly clock: Clock;
}

/**
 * Creates the status registry of a gateway from the state of its services.
 *
 * @param options Settings and the services whose state is reported.
 * @returns The registry.
 *
 * @example
 * const registry = createGatewayStatus({ settings, configuration, topology, membership, failover, events, clock });
 */
export function createGatewayStatus(options: GatewayStatusOptions): StatusRegistry {
    const { settings, configuration, topology, membership, failover, events, clock } = options;
    const { name, availabilityZone } = settings;
    const isCoordinator = (database: string): boolean => failover.state().some(group => group.database === database);
    return createStatusRegistry({
        process: name,
        kind: ProcessKind.Gateway,
        availabilityZone,
        providers: [
            () => ({
                version: configuration.current().version,
                gateways: membership.peers(),
                groups: listGroups({ configuration, topology, process: name, isCoordinator }),
                leavingEndpoints: topology.leavingEndpoints(),
            }),
            createFailoverGaps(events, clock),
        ],
        clock,
        requestStop,
    });
}
