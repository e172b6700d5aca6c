import type { Clock } from "../../clock/types/Clock.js";
import { createConfigurationService } from "../../configuration/createConfigurationService/index.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import { createDisseminationService } from "../../dissemination/createDisseminationService/index.js";
import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import { createEndpointDriver } from "../../endpoints/createEndpointDriver/index.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { createFailoverService } from "../../failover/createFailoverService/index.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Logger } from "../../logging/types/Logger.js";
import { createMembershipService } from "../../membership/createMembershipService/index.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { GatewaySettings } from "../../settings/types/GatewaySettings.js";
import { createTermReservation } from "../../terms/createTermReservation/index.js";
import type { TermReservation } from "../../terms/types/TermReservation.js";
import { createGatewayTopology } from "../../topology/createGatewayTopology/index.js";
import type { Peers } from "../../transport/types/Peers.js";

/**
 * Lists the control plane services of a gateway: membership, dissemination, configuration, topology, terms, failover.
 *
 * @param settings Settings of the gateway.
 * @returns Their definitions, for a kernel.
 *
 * @example
 * const definitions = listControlServices(settings);
 */
export function listControlServices(settings: GatewaySettings): ServiceDefinition[] {
    const { name, listen, availabilityZone, region } = settings;
    return [
        {
            name: ServiceName.Membership,
            dependencies: [
                ServiceName.PlatformClient,
                ServiceName.Peers,
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.Events,
                ServiceName.Logger,
            ],
            create: (
                platform: PlatformClient,
                peers: Peers,
                clock: Clock,
                random: RandomSource,
                events: EventRecorder,
                logger: Logger,
            ) => createMembershipService(
                { self: { name, ...listen, availabilityZone, region }, seeds: settings.seedGateways },
                { platform, peers, clock, random, events, logger },
            ),
        },
        {
            name: ServiceName.Dissemination,
            dependencies: [
                ServiceName.Membership,
                ServiceName.Peers,
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.Logger,
            ],
            create: (
                membership: MembershipService,
                peers: Peers,
                clock: Clock,
                random: RandomSource,
                logger: Logger,
            ) => createDisseminationService({ membership, peers, clock, random, logger }),
        },
        {
            name: ServiceName.Configuration,
            dependencies: [
                ServiceName.PlatformClient,
                ServiceName.Membership,
                ServiceName.Dissemination,
                ServiceName.Peers,
                ServiceName.Events,
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.Logger,
            ],
            create: (
                platform: PlatformClient,
                membership: MembershipService,
                dissemination: DisseminationService,
                peers: Peers,
                events: EventRecorder,
                clock: Clock,
                random: RandomSource,
                logger: Logger,
            ) => createConfigurationService({
                platform,
                membership,
                dissemination,
                peers,
                seedGateways: settings.seedGateways,
                events,
                clock,
                random,
                logger,
            }),
        },
        {
            name: ServiceName.Topology,
            dependencies: [ServiceName.Dissemination, ServiceName.Membership, ServiceName.Configuration],
            create: createGatewayTopology,
        },
        {
            name: ServiceName.EndpointDriver,
            dependencies: [ServiceName.NetworkConditions],
            create: (conditions: NetworkConditions) => createEndpointDriver(conditions),
        },
        {
            name: ServiceName.TermReservation,
            dependencies: [ServiceName.PlatformClient, ServiceName.Clock, ServiceName.Random, ServiceName.Events],
            create: (platform: PlatformClient, clock: Clock, random: RandomSource, events: EventRecorder) =>
                createTermReservation({ platform, clock, random, events }),
        },
        {
            name: ServiceName.Failover,
            dependencies: [
                ServiceName.Configuration,
                ServiceName.Membership,
                ServiceName.Dissemination,
                ServiceName.TermReservation,
                ServiceName.EndpointDriver,
                ServiceName.Peers,
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.Events,
                ServiceName.Logger,
            ],
            create: (
                configuration: ConfigurationService,
                membership: MembershipService,
                dissemination: DisseminationService,
                terms: TermReservation,
                driver: EndpointDriver,
                peers: Peers,
                clock: Clock,
                random: RandomSource,
                events: EventRecorder,
                logger: Logger,
            ) => createFailoverService({
                configuration,
                membership,
                dissemination,
                terms,
                driver,
                peers,
                clock,
                random,
                events,
                logger,
            }),
        },
    ];
}
