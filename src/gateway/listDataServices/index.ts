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

const requestServiceNames = [
    ServiceName.Clock,
    ServiceName.Configuration,
    ServiceName.Topology,
    ServiceName.Admission,
    ServiceName.EndpointConnections,
    ServiceName.Confirmation,
    ServiceName.RetryBudget,
] as const;

type RequestServiceArguments = [
    Clock,
    ConfigurationService,
    TopologyService,
    Admission,
    EndpointConnections,
    Confirmation,
    RetryBudget,
];

/**
 * Lists a gateway's services of the data path: connections, admission, confirmation, requests, transactions.
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
            name: ServiceName.EndpointRequests,
            dependencies: [...requestServiceNames, ServiceName.Logger],
            create: (...[logger, services]: never[]) => createEndpointRequests({ ...(services as object), logger } as never),
        },
    ];
}
