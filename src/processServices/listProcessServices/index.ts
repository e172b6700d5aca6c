import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { createEmulatedNetwork } from "../../network/createEmulatedNetwork/index.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { createPlatformClient } from "../../objectStore/createPlatformClient/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import type { ProcessSettings } from "../../settings/types/ProcessSettings.js";
import { createPeers } from "../../transport/createPeers/index.js";

/**
 * Lists the services that every daemon has: clock, random source, logger, events, network conditions, peers and
 * platform client.
 *
 * @param settings Settings of the process.
 * @returns The definitions, for a kernel.
 *
 * @example
 * const kernel = createKernel([...listProcessServices(settings), ...listEntryServices(settings)]);
 */
export function listProcessServices(settings: ProcessSettings): ServiceDefinition[] {
    const { name, availabilityZone, peerSecret, emulatedNetwork, platform } = settings;
    return [
        { name: ServiceName.Clock, dependencies: [], create: createSystemClock },
        {
            name: ServiceName.Random,
            dependencies: [],
            create: () => createRandomSource(settings.randomSeed ?? Math.floor(Math.random() * 2 ** 32)),
        },
        {
            name: ServiceName.Logger,
            dependencies: [ServiceName.Clock],
            create: (clock: Clock) => createLogger(name, clock),
        },
        {
            name: ServiceName.Events,
            dependencies: [ServiceName.Clock],
            create: (clock: Clock) => createEventRecorder(name, clock),
        },
        {
            name: ServiceName.NetworkConditions,
            dependencies: [],
            create: () =>
                emulatedNetwork === undefined
                    ? createUnemulatedNetwork(availabilityZone)
                    : createEmulatedNetwork({
                        localZone: availabilityZone,
                        processName: name,
                        publisher: emulatedNetwork,
                    }),
        },
        {
            name: ServiceName.Peers,
            dependencies: [ServiceName.NetworkConditions, ServiceName.Events],
            create: (conditions: NetworkConditions, events: EventRecorder) =>
                createPeers({ name, availabilityZone, peerSecret }, conditions, events),
        },
        {
            name: ServiceName.PlatformClient,
            dependencies: [ServiceName.NetworkConditions],
            create: (conditions: NetworkConditions) => createPlatformClient(platform, { caller: name, conditions }),
        },
    ];
}
