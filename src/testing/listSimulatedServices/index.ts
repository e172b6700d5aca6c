import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import { createDutyRouter } from "../../duty/createDutyRouter/index.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import type { SessionHosts } from "../../forwarding/types/SessionHosts.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { createPlacement } from "../../placement/createPlacement/index.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import type { EndpointControl } from "../../promotions/types/EndpointControl.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { listVmServices } from "../../vm/listVmServices/index.js";
import type { VmSettings } from "../../vm/types/VmSettings.js";
import { createSimulatedPeers } from "../createSimulatedPeers/index.js";
import { createSimulatedStoreClient } from "../createSimulatedStoreClient/index.js";
import { openSimulatedSession } from "../openSimulatedSession/index.js";
import type { SimulatedEnvironment } from "../types/SimulatedEnvironment.js";

/** Options of `listSimulatedServices`. */
interface SimulatedServicesOptions {
    readonly environment: SimulatedEnvironment;
    readonly settings: VmSettings;
    readonly clock: Clock;
    readonly seed: number;
}

/** Services that only serve callers, or that need sockets or files. */
const omittedServices: ReadonlySet<ServiceName> = new Set([
    ServiceName.Events,
    ServiceName.CallerSessions,
    ServiceName.SessionForwarding,
    ServiceName.SessionHost,
    ServiceName.MetricsServer,
    ServiceName.SettingsReload,
    ServiceName.VmServer,
]);

const connectionLimit = 40;

/**
 * Lists the services of a VM of a simulation: those of the product, with the network, the store, the platform and the
 * endpoints replaced.
 *
 * @param options The environment, the settings of the VM, its clock, and the seed of its randomness.
 * @returns The definitions of the services, for a kernel.
 *
 * @example
 * const kernel = createKernel(listSimulatedServices({ environment, settings, clock, seed: 1 }));
 */
export function listSimulatedServices(options: SimulatedServicesOptions): readonly ServiceDefinition[] {
    const { environment, settings, clock, seed } = options;
    const { network, store, endpoints, groups } = environment;
    const { name } = settings;
    const routingTable = {
        version: 1,
        routes: [],
        groups: groups.map(group => ({ group, connectionLimit, synchronousReplicas: 0 })),
        idleTransactionMilliseconds: 3_000,
    };
    const replaced: readonly ServiceDefinition[] = [
        { name: ServiceName.Clock, dependencies: [], create: () => clock },
        { name: ServiceName.Random, dependencies: [], create: () => createRandomSource(seed) },
        { name: ServiceName.Metrics, dependencies: [], create: createSilentMetrics },
        {
            name: ServiceName.Logger,
            dependencies: [],
            create: (): Logger => ({
                topic: topic => (message, fields) => environment.log(message, { vm: name, topic, ...fields }),
            }),
        },
        {
            name: ServiceName.PlatformStore,
            dependencies: [],
            create: () => createSimulatedStoreClient({ vmName: name, network, store, routingTable }),
        },
        {
            name: ServiceName.Peers,
            dependencies: [],
            create: () => createSimulatedPeers(name, environment),
        },
        {
            name: ServiceName.PromotionOrders,
            dependencies: [],
            create: () => environment.platform.createClient(name, network),
        },
        {
            name: ServiceName.Placement,
            dependencies: [
                ServiceName.Directory,
                ServiceName.Primaries,
                ServiceName.SessionHosts,
                ServiceName.Metrics,
                ServiceName.Logger,
                ServiceName.Random,
            ],
            create: (
                directory: Directory,
                primaries: Primaries,
                hosts: SessionHosts,
                metrics: Metrics,
                logger: Logger,
                random: RandomSource,
            ) => createPlacement({
                clock,
                random,
                directory,
                primaries,
                open: (endpoint, _owner, timeoutMilliseconds) =>
                    openSimulatedSession({ vmName: name, endpoint, timeoutMilliseconds, network, endpoints }),
                vmLocation: settings,
                vmCount: group => hosts.hostCountOf(group),
                isHolding: hosts.isHostOf,
                metrics,
                log: logger.topic("placement"),
            }),
        },
        {
            name: ServiceName.TransportServer,
            dependencies: [ServiceName.Duty, ServiceName.EndpointControl, ServiceName.EndpointProbe],
            create: (
                duty: Duty,
                { run }: EndpointControl,
                { probe }: { readonly probe: (endpointId: string) => Promise<boolean>; },
            ) => ({ router: createDutyRouter(duty, (command: EndpointCommand) => run(command), probe) }),
        },
    ];
    const replacedNames = new Set(replaced.map(definition => definition.name));
    const services = listVmServices(settings, {
        writeLog: () => {},
        metricsPort: 0,
        readSettings: () => settings,
        onSettingsSignal: () => () => {},
    });
    return [
        ...services.filter(service => !omittedServices.has(service.name) && !replacedNames.has(service.name)),
        ...replaced,
    ];
}

function createSilentMetrics(): Metrics {
    const ignore = (): void => {};
    return {
        countStatement: ignore,
        countRetry: ignore,
        countAcquisitionTimeout: ignore,
        countWaitRefusal: ignore,
        countConnection: ignore,
        countOpening: ignore,
        countEviction: ignore,
        countOpeningWait: ignore,
        countStoreFailure: ignore,
        countStoreRestore: ignore,
        countPrimaryChange: ignore,
        countPrimaryVerification: ignore,
        countMemoryRefusal: ignore,
        countStateRefusal: () => {},
        countConnectionLoss: () => {},
        countLongAnswer: () => {},
        countReadPause: ignore,
        countQuotaDecision: ignore,
        countQuotaGrants: ignore,
        registerGauge: ignore,
        render: async () => "",
    };
}
