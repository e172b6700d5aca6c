import { createCallerFront } from "../../callers/createCallerFront/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { createEntryConfiguration } from "../../configuration/createEntryConfiguration/index.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { createEntryExecution } from "../createEntryExecution/index.js";
import type { RequestExecutionService } from "../../execution/types/RequestExecutionService.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Logger } from "../../logging/types/Logger.js";
import { listProcessServices } from "../../processServices/listProcessServices/index.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { EntrySettings } from "../../settings/types/EntrySettings.js";
import { createEntryTopology } from "../../topology/createEntryTopology/index.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import type { Peers } from "../../transport/types/Peers.js";

/**
 * Lists the services of an entry.
 *
 * @param settings Settings of the entry.
 * @returns Their definitions, for a kernel.
 *
 * @example
 * const kernel = createKernel(listEntryServices(settings));
 */
export function listEntryServices(settings: EntrySettings): ServiceDefinition[] {
    const { localGateway, otherGateways, listen } = settings;
    return [
        ...listProcessServices(settings),
        {
            name: ServiceName.Configuration,
            dependencies: [
                ServiceName.Peers,
                ServiceName.Events,
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.Logger,
            ],
            create: (peers: Peers, events: EventRecorder, clock: Clock, random: RandomSource, logger: Logger) =>
                createEntryConfiguration({ localGateway, otherGateways, peers, events, clock, random, logger }),
        },
        {
            name: ServiceName.Topology,
            dependencies: [ServiceName.Peers, ServiceName.Clock, ServiceName.Configuration],
            create: (peers: Peers, clock: Clock, configuration: ConfigurationService) =>
                createEntryTopology({ peers, clock, configuration, gateways: [localGateway, ...otherGateways] }),
        },
        {
            name: ServiceName.RequestExecution,
            dependencies: [
                ServiceName.Topology,
                ServiceName.Configuration,
                ServiceName.Peers,
                ServiceName.Clock,
                ServiceName.Random,
            ],
            create: (
                topology: TopologyService,
                configuration: ConfigurationService,
                peers: Peers,
                clock: Clock,
                random: RandomSource,
            ) => createEntryExecution({ settings, topology, configuration, peers, clock, random }),
        },
        {
            name: ServiceName.CallerFront,
            dependencies: [ServiceName.RequestExecution, ServiceName.Configuration, ServiceName.Clock],
            create: (execution: RequestExecutionService, configuration: ConfigurationService, clock: Clock) =>
                createCallerFront({ ...listen, execution, configuration, clock }),
        },
    ];
}
