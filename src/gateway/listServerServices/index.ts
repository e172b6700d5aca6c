import type { Clock } from "../../clock/types/Clock.js";
import { createConfigurationRouter } from "../../configuration/createConfigurationRouter/index.js";
import type { GatewayConfiguration } from "../../configuration/types/GatewayConfiguration.js";
import { createDisseminationRouter } from "../../dissemination/createDisseminationRouter/index.js";
import type { DisseminationExchange } from "../../dissemination/types/DisseminationExchange.js";
import { createEventArchive } from "../../events/createEventArchive/index.js";
import { createEventsRouter } from "../../events/createEventsRouter/index.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { createFailoverRouter } from "../../failover/createFailoverRouter/index.js";
import type { FailoverService } from "../../failover/types/FailoverService.js";
import { createFreshnessRouter } from "../../freshness/createFreshnessRouter/index.js";
import type { PositionReader } from "../../freshness/types/PositionReader.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Logger } from "../../logging/types/Logger.js";
import { createMembershipRouter } from "../../membership/createMembershipRouter/index.js";
import type { MembershipExchange } from "../../membership/types/MembershipExchange.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import { createRequestsRouter } from "../../requests/createRequestsRouter/index.js";
import type { EndpointRequests } from "../../requests/types/EndpointRequests.js";
import type { GatewaySettings } from "../../settings/types/GatewaySettings.js";
import { createStatusRouter } from "../../status/createStatusRouter/index.js";
import type { StatusRegistry } from "../../status/types/StatusRegistry.js";
import { createViewRouter } from "../../topology/createViewRouter/index.js";
import type { GatewayTopology } from "../../topology/types/GatewayTopology.js";
import { createTransactionsRouter } from "../../transactions/createTransactionsRouter/index.js";
import type { Transactions } from "../../transactions/types/Transactions.js";
import { createTransportServer } from "../../transport/createTransportServer/index.js";
import { trpc } from "../../transport/trpc/index.js";
import { createGatewayStatus } from "../createGatewayStatus/index.js";
import { createGracefulStop } from "../createGracefulStop/index.js";

/**
 * Lists the services through which a gateway answers other processes, and the one that drains it.
 *
 * @param settings Settings of the gateway.
 * @returns Their definitions, for a kernel.
 *
 * @example
 * const definitions = listServerServices(settings);
 */
export function listServerServices(settings: GatewaySettings): ServiceDefinition[] {
    return [
        {
            name: ServiceName.StatusRegistry,
            dependencies: [
                ServiceName.Configuration,
                ServiceName.Topology,
                ServiceName.Membership,
                ServiceName.Failover,
                ServiceName.Events,
                ServiceName.Clock,
            ],
            create: (
                configuration: GatewayConfiguration,
                topology: GatewayTopology,
                membership: MembershipService,
                failover: FailoverService,
                events: EventRecorder,
                clock: Clock,
            ) => createGatewayStatus({ settings, configuration, topology, membership, failover, events, clock }),
        },
        {
            name: ServiceName.TransportServer,
            dependencies: [
                ServiceName.EndpointRequests,
                ServiceName.Transactions,
                ServiceName.PositionReader,
                ServiceName.Topology,
                ServiceName.Dissemination,
                ServiceName.Configuration,
                ServiceName.Failover,
                ServiceName.StatusRegistry,
                ServiceName.Membership,
                ServiceName.Events,
                ServiceName.Logger,
            ],
            create: (
                requests: EndpointRequests,
                transactions: Transactions,
                positionReader: PositionReader,
                topology: GatewayTopology,
                dissemination: DisseminationExchange,
                configuration: GatewayConfiguration,
                failover: FailoverService,
                statusRegistry: StatusRegistry,
                membership: MembershipExchange,
                events: EventRecorder,
                logger: Logger,
            ) => createTransportServer({
                ...settings.listen,
                peerSecret: settings.peerSecret,
                events,
                logger,
                router: trpc.mergeRouters(
                    createRequestsRouter(requests),
                    createTransactionsRouter(transactions),
                    createFreshnessRouter(positionReader),
                    createViewRouter(topology),
                    createDisseminationRouter(dissemination),
                    createConfigurationRouter(configuration),
                    createFailoverRouter(failover),
                    createMembershipRouter(membership),
                    createStatusRouter(statusRegistry),
                    createEventsRouter(createEventArchive(events)),
                ),
            }),
        },
        {
            name: ServiceName.GracefulStop,
            dependencies: [
                ServiceName.Membership,
                ServiceName.EndpointRequests,
                ServiceName.Transactions,
                ServiceName.TransportServer,
            ],
            create: createGracefulStop,
        },
    ];
}
