import { createCallerServer } from "../../callers/createCallerServer/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { requestStop } from "../../commandLine/requestStop/index.js";
import { createEntryConfiguration } from "../../configuration/createEntryConfiguration/index.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { RequestExecutionService } from "../../execution/types/RequestExecutionService.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { createRepeatedLog } from "../../logging/createRepeatedLog/index.js";
import type { Logger } from "../../logging/types/Logger.js";
import { listProcessServices } from "../../processServices/listProcessServices/index.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { EntrySettings } from "../../settings/types/EntrySettings.js";
import { createEntryReporter } from "../../status/createEntryReporter/index.js";
import { createReadCounter } from "../../status/createReadCounter/index.js";
import { createStatusRegistry } from "../../status/createStatusRegistry/index.js";
import { ProcessKind } from "../../status/types/ProcessKind.js";
import type { StatusRegistry } from "../../status/types/StatusRegistry.js";
import { createEntryTopology } from "../../topology/createEntryTopology/index.js";
import type { EntryTopology } from "../../topology/types/EntryTopology.js";
import type { Peers } from "../../transport/types/Peers.js";
import { createEntryExecution } from "../createEntryExecution/index.js";

type ReadCounter = ReturnType<typeof createReadCounter>;

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
                topology: EntryTopology,
                configuration: ConfigurationService,
                peers: Peers,
                clock: Clock,
                random: RandomSource,
            ) => createEntryExecution({ settings, topology, configuration, peers, clock, random }),
        },
        { name: ServiceName.ReadCounter, dependencies: [], create: createReadCounter },
        {
            name: ServiceName.CallerServer,
            dependencies: [
                ServiceName.RequestExecution,
                ServiceName.Configuration,
                ServiceName.Clock,
                ServiceName.ReadCounter,
                ServiceName.Logger,
            ],
            create: (
                execution: RequestExecutionService,
                configuration: ConfigurationService,
                clock: Clock,
                readCounter: ReadCounter,
                logger: Logger,
            ) => createCallerServer({
                ...listen,
                execution,
                configuration,
                clock,
                limits: settings.callerLimits,
                onDisconnected: createRepeatedLog(
                    logger.topic("callers"),
                    "connections closed: request bodies hold too many bytes",
                    clock.now,
                ),
                onRead: readCounter.count,
            }),
        },
        {
            name: ServiceName.StatusRegistry,
            dependencies: [ServiceName.Configuration, ServiceName.ReadCounter, ServiceName.Clock],
            create: (configuration: ConfigurationService, readCounter: ReadCounter, clock: Clock) =>
                createStatusRegistry({
                    process: settings.name,
                    kind: ProcessKind.Entry,
                    availabilityZone: settings.availabilityZone,
                    providers: [() => ({ version: configuration.current().version }), readCounter.provide],
                    clock,
                    requestStop,
                }),
        },
        {
            name: ServiceName.EntryReporter,
            dependencies: [
                ServiceName.StatusRegistry,
                ServiceName.Events,
                ServiceName.Peers,
                ServiceName.Clock,
                ServiceName.Logger,
            ],
            create: (
                statusRegistry: StatusRegistry,
                events: EventRecorder,
                peers: Peers,
                clock: Clock,
                logger: Logger,
            ) => createEntryReporter({
                registry: statusRegistry,
                events,
                localGateway,
                otherGateways,
                peers,
                clock,
                logger,
                requestStop,
            }),
        },
    ];
}
