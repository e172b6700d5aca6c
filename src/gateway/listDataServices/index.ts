import { createAdmission } from "../../admission/createAdmission/index.js";
import { createRetryBudget } from "../../admission/createRetryBudget/index.js";
import type { Admission } from "../../admission/types/Admission.js";
import type { RetryBudget } from "../../admission/types/RetryBudget.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import { createConfirmation } from "../../confirmation/createConfirmation/index.js";
import type { Confirmation } from "../../confirmation/types/Confirmation.js";
import { createEndpointConnections } from "../../connections/createEndpointConnections/index.js";
import type { EndpointConnections } from "../../connections/types/EndpointConnections.js";
import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { createSuspicionReports } from "../../failover/createSuspicionReports/index.js";
import type { FailoverService } from "../../failover/types/FailoverService.js";
import { createPositionReader } from "../../freshness/createPositionReader/index.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { createLeavingWatch } from "../../leaving/createLeavingWatch/index.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createEndpointRequests } from "../../requests/createEndpointRequests/index.js";
import type { RequestServices } from "../../requests/types/RequestServices.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import { createTransactions } from "../../transactions/createTransactions/index.js";

/**
 * Lists the data path services of a gateway: connections, admission, confirmation, requests, transactions.
 *
 * @returns Their definitions, for a kernel.
 *
 * @example
 * const definitions = listDataServices();
 */
export function listDataServices(): ServiceDefinition[] {
    return [
        {
            name: ServiceName.RetryBudget,
            dependencies: [ServiceName.Configuration],
            create: (configuration: ConfigurationService) =>
                createRetryBudget(() => configuration.current().content.limits.retryBudgetShare),
        },
        {
            name: ServiceName.Admission,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Configuration,
                ServiceName.Topology,
                ServiceName.Membership,
            ],
            create: (
                clock: Clock,
                configuration: ConfigurationService,
                topology: TopologyService,
                membership: MembershipService,
            ) => createAdmission({ clock, configuration, topology, membership }),
        },
        {
            name: ServiceName.EndpointConnections,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Configuration,
                ServiceName.Topology,
                ServiceName.Membership,
                ServiceName.EndpointDriver,
            ],
            create: (
                clock: Clock,
                configuration: ConfigurationService,
                topology: TopologyService,
                membership: MembershipService,
                driver: EndpointDriver,
            ) => createEndpointConnections({ clock, configuration, topology, membership, driver }),
        },
        {
            name: ServiceName.Confirmation,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.Configuration,
                ServiceName.Topology,
                ServiceName.Membership,
                ServiceName.EndpointDriver,
            ],
            create: (
                clock: Clock,
                random: RandomSource,
                configuration: ConfigurationService,
                topology: TopologyService,
                membership: MembershipService,
                driver: EndpointDriver,
            ) => createConfirmation({ clock, random, configuration, topology, membership, driver }),
        },
        {
            name: ServiceName.RequestServices,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Configuration,
                ServiceName.Topology,
                ServiceName.Admission,
                ServiceName.EndpointConnections,
                ServiceName.Confirmation,
                ServiceName.RetryBudget,
            ],
            create: (
                clock: Clock,
                configuration: ConfigurationService,
                topology: TopologyService,
                admission: Admission,
                connections: EndpointConnections,
                confirmation: Confirmation,
                retryBudget: RetryBudget,
            ): RequestServices => ({
                clock,
                configuration,
                topology,
                admission,
                connections,
                confirmation,
                retryBudget,
                confirmsPrimaryReads: true,
            }),
        },
        {
            name: ServiceName.EndpointRequests,
            dependencies: [ServiceName.RequestServices, ServiceName.Logger],
            create: (services: RequestServices, logger: Logger) => createEndpointRequests({ ...services, logger }),
        },
        {
            name: ServiceName.Transactions,
            dependencies: [ServiceName.RequestServices, ServiceName.Events],
            create: (services: RequestServices, events: EventRecorder) => createTransactions({ ...services, events }),
        },
        {
            name: ServiceName.PositionReader,
            dependencies: [ServiceName.RequestServices],
            create: (services: RequestServices) => createPositionReader(services),
        },
        {
            name: ServiceName.LeavingWatch,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Configuration,
                ServiceName.Confirmation,
                ServiceName.Dissemination,
                ServiceName.Events,
            ],
            create: (
                clock: Clock,
                configuration: ConfigurationService,
                confirmation: Confirmation,
                dissemination: DisseminationService,
                events: EventRecorder,
            ) => createLeavingWatch({ clock, configuration, confirmation, dissemination, events }),
        },
        {
            name: ServiceName.SuspicionReports,
            dependencies: [ServiceName.EndpointConnections, ServiceName.Topology, ServiceName.Failover],
            create: (connections: EndpointConnections, topology: TopologyService, failover: FailoverService) =>
                createSuspicionReports(connections, topology, failover),
        },
    ];
}
