import type { CallerSessions } from "../../callerSessions/types/CallerSessions.js";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { directoryConstants } from "../../directory/constants.js";
import { createDirectory } from "../../directory/createDirectory/index.js";
import { createDirectoryFollower } from "../../directory/createDirectoryFollower/index.js";
import { createStoreFreshness } from "../../directory/createStoreFreshness/index.js";
import { createWatchPolicy } from "../../directory/createWatchPolicy/index.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { PlatformStore } from "../../directory/types/PlatformStore.js";
import type { StoreFreshness } from "../../directory/types/StoreFreshness.js";
import type { WatchPolicy } from "../../directory/types/WatchPolicy.js";
import type { Duty } from "../../duty/types/Duty.js";
import { createHostedWorkspaces } from "../../forwarding/createHostedWorkspaces/index.js";
import { createLoadControl } from "../../forwarding/createLoadControl/index.js";
import type { SessionHost } from "../../forwarding/types/SessionHost.js";
import type { SessionHosts } from "../../forwarding/types/SessionHosts.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { createLogger } from "../../logging/createLogger/index.js";
import type { Logger } from "../../logging/types/Logger.js";
import { chooseMemoryLimits } from "../../memory/chooseMemoryLimits/index.js";
import { collectGarbage } from "../../memory/collectGarbage/index.js";
import { createByteBudget } from "../../memory/createByteBudget/index.js";
import { createMemoryGuard } from "../../memory/createMemoryGuard/index.js";
import type { ByteBudget } from "../../memory/types/ByteBudget.js";
import { createMetrics } from "../../metrics/createMetrics/index.js";
import { createMetricsServer } from "../../metrics/createMetricsServer/index.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { createPlacement } from "../../placement/createPlacement/index.js";
import { createStoreClient } from "../../platform/createStoreClient/index.js";
import { createPositionEvidence } from "../../primaries/createPositionEvidence/index.js";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import { createPrimaryVerification } from "../../primaries/createPrimaryVerification/index.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { queryEndpointRole } from "../../promotions/queryEndpointRole/index.js";
import type { Departure } from "../../promotions/types/Departure.js";
import type { EndpointControl } from "../../promotions/types/EndpointControl.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { vmConstants } from "../constants.js";
import { createSettingsReload } from "../createSettingsReload/index.js";
import { createVmServer } from "../createVmServer/index.js";
import { defineSessionService } from "../defineSessionService/index.js";
import { listDutyServices } from "../listDutyServices/index.js";
import { listForwardingServices } from "../listForwardingServices/index.js";
import { listQuotaServices } from "../listQuotaServices/index.js";
import { openEndpoint } from "../openEndpoint/index.js";
import { registerVmGauges } from "../registerVmGauges/index.js";
import type { VmSettings } from "../types/VmSettings.js";

/** Options of `listVmServices`. */
interface VmServicesOptions {
    /** Writes one log line. */
    readonly writeLog: (line: string) => void;
    /** Port on which metrics are served; 0 for any free port. */
    readonly metricsPort: number;
    /** Reads the settings file again. */
    readonly readSettings: () => VmSettings;
    /** Calls the listener when the settings file has changed; returns the function that removes the listener. */
    readonly onSettingsSignal: (listener: () => void) => () => void;
}

/**
 * Lists the services of the program that runs on every VM of the platform.
 *
 * @param settings Settings of the VM.
 * @param options Output of log lines, port of the metrics, and access to the settings file.
 * @returns The definitions of the services, for a kernel.
 *
 * @example
 * const kernel = createKernel(listVmServices(settings, { writeLog }));
 */
export function listVmServices(settings: VmSettings, options: VmServicesOptions): ServiceDefinition[] {
    return [
        { name: ServiceName.Clock, dependencies: [], create: createSystemClock },
        {
            name: ServiceName.Random,
            dependencies: [],
            create: () => createRandomSource(Math.floor(Math.random() * 2 ** 32)),
        },
        {
            name: ServiceName.Logger,
            dependencies: [ServiceName.Clock],
            create: (clock: Clock) => createLogger(settings.name, clock, options.writeLog),
        },
        {
            name: ServiceName.PlatformStore,
            dependencies: [],
            create: () =>
                createStoreClient(settings.storeAddress, {
                    timeoutMilliseconds: directoryConstants.callTimeoutMilliseconds,
                }),
        },
        {
            name: ServiceName.Directory,
            dependencies: [ServiceName.Clock, ServiceName.Logger],
            create: (clock: Clock, logger: Logger) => createDirectory(clock, logger.topic("directory")),
        },
        {
            name: ServiceName.DirectoryFollower,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.PlatformStore,
                ServiceName.Directory,
                ServiceName.WatchPolicy,
                ServiceName.StoreFreshness,
                ServiceName.Metrics,
                ServiceName.Logger,
            ],
            create: (
                clock: Clock,
                random: RandomSource,
                store: PlatformStore,
                directory: Directory,
                policy: WatchPolicy,
                freshness: StoreFreshness,
                metrics: Metrics,
                logger: Logger,
            ) => {
                const log = logger.topic("directory");
                return createDirectoryFollower({ clock, random, store, directory, policy, freshness, metrics, log });
            },
        },
        { name: ServiceName.StoreFreshness, dependencies: [ServiceName.Clock], create: createStoreFreshness },
        {
            name: ServiceName.WatchPolicy,
            dependencies: [ServiceName.Duty, ServiceName.StoreFreshness],
            create: (duty: Duty, freshness: StoreFreshness) =>
                createWatchPolicy({
                    name: settings.name,
                    hostVms: duty.hostVms,
                    isHolder: () => duty.heldToken() !== undefined,
                    isInContact: duty.isInContact,
                    freshness,
                    configurationMilliseconds: settings.configurationMilliseconds,
                }),
        },
        {
            name: ServiceName.Primaries,
            dependencies: [ServiceName.Clock, ServiceName.Directory, ServiceName.Logger],
            create: (clock: Clock, directory: Directory, logger: Logger) =>
                createPrimaries(clock, directory, logger.topic("primaries")),
        },
        { name: ServiceName.PositionEvidence, dependencies: [], create: createPositionEvidence },
        {
            name: ServiceName.Placement,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Directory,
                ServiceName.Primaries,
                ServiceName.SessionHosts,
                ServiceName.Duty,
                ServiceName.ByteBudget,
                ServiceName.Metrics,
                ServiceName.Logger,
                ServiceName.Random,
            ],
            create: (
                clock: Clock,
                directory: Directory,
                primaries: Primaries,
                hosts: SessionHosts,
                duty: Duty,
                budget: ByteBudget,
                metrics: Metrics,
                logger: Logger,
                random: RandomSource,
            ) => createPlacement({
                clock,
                random,
                directory,
                primaries,
                open: (endpoint, owner, timeoutMilliseconds) =>
                    openEndpoint(endpoint, owner, timeoutMilliseconds, budget),
                vmLocation: settings,
                vmCount: group => Math.max(hosts.hostCountOf(group), vmConstants.minimumAssumedVms),
                isHolding: hosts.isHostOf,
                isControlled: createLoadControl({ directory, hosts, otherVms: duty.otherVms }),
                listHostedWorkspaces: createHostedWorkspaces({ clock, directory, hosts }),
                metrics,
                log: logger.topic("placement"),
            }),
        },
        {
            name: ServiceName.PrimaryVerification,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Directory,
                ServiceName.Primaries,
                ServiceName.Duty,
                ServiceName.EndpointControl,
                ServiceName.Metrics,
                ServiceName.Logger,
            ],
            create: (
                clock: Clock,
                directory: Directory,
                primaries: Primaries,
                duty: Duty,
                control: EndpointControl,
                metrics: Metrics,
                logger: Logger,
            ) => createPrimaryVerification({
                clock,
                directory,
                primaries,
                hasLease: duty.hasLease,
                holderAgeMilliseconds: duty.holderAgeMilliseconds,
                queryRole: endpointId => queryEndpointRole(control.run, endpointId),
                metrics,
                log: logger.topic("primaries"),
            }),
        },
        {
            name: ServiceName.ByteBudget,
            dependencies: [ServiceName.Clock, ServiceName.Metrics, ServiceName.Logger],
            create: (clock: Clock, metrics: Metrics, logger: Logger) =>
                createByteBudget({
                    limits: chooseMemoryLimits(settings.memory, settings.callerLimits),
                    clock,
                    metrics,
                    log: logger.topic("memory"),
                    onReceived: createMemoryGuard({
                        megabytes: settings.memory.megabytes,
                        readResidentBytes: process.memoryUsage.rss,
                        collectGarbage,
                    }),
                }),
        },
        defineSessionService(settings),
        ...listForwardingServices(settings),
        ...listDutyServices(settings),
        ...listQuotaServices(settings),
        { name: ServiceName.Metrics, dependencies: [], create: createMetrics },
        {
            name: ServiceName.MetricsServer,
            dependencies: [
                ServiceName.Metrics,
                ServiceName.CallerSessions,
                ServiceName.SessionHost,
                ServiceName.ByteBudget,
                ServiceName.Duty,
                ServiceName.Logger,
            ],
            create: (
                metrics: Metrics,
                sessions: CallerSessions,
                sessionHost: SessionHost,
                budget: ByteBudget,
                duty: Duty,
                logger: Logger,
            ) => {
                registerVmGauges(metrics, { sessions, sessionHost, budget, duty });
                const { host } = settings.callerAddress;
                return createMetricsServer({ host, port: options.metricsPort, metrics, log: logger.topic("metrics") });
            },
        },
        {
            name: ServiceName.SettingsReload,
            dependencies: [ServiceName.Clock, ServiceName.Logger],
            create: (clock: Clock, logger: Logger) =>
                createSettingsReload({
                    clock,
                    settings,
                    read: options.readSettings,
                    onSignal: options.onSettingsSignal,
                    log: logger.topic("settings"),
                }),
        },
        {
            name: ServiceName.VmServer,
            dependencies: [
                ServiceName.CallerSessions,
                ServiceName.Directory,
                ServiceName.Departure,
                ServiceName.Clock,
                ServiceName.Metrics,
                ServiceName.Logger,
            ],
            create: (
                sessions: CallerSessions,
                directory: Directory,
                departure: Departure,
                clock: Clock,
                metrics: Metrics,
                logger: Logger,
            ) => {
                const log = logger.topic("front");
                return createVmServer({ settings, sessions, directory, departure, clock, metrics, log });
            },
        },
    ];
}
