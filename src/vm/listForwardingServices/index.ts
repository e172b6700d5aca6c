import type { CallerSessions } from "../../callerSessions/types/CallerSessions.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { Duty } from "../../duty/types/Duty.js";
import { createSessionForwarding } from "../../forwarding/createSessionForwarding/index.js";
import { createSessionHost } from "../../forwarding/createSessionHost/index.js";
import { createSessionHosts } from "../../forwarding/createSessionHosts/index.js";
import { createSessionOpener } from "../../forwarding/createSessionOpener/index.js";
import type { SessionHosts } from "../../forwarding/types/SessionHosts.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { Peers } from "../../transport/types/Peers.js";
import type { VmSettings } from "../types/VmSettings.js";

/**
 * Lists the services with which VMs forward callers' sessions to each other.
 *
 * @param settings Settings of the VM.
 * @returns The definitions of the services, for a kernel.
 *
 * @example
 * const definitions = listForwardingServices(settings);
 */
export function listForwardingServices(settings: VmSettings): ServiceDefinition[] {
    const { name, peerAddress, capacity, regionsByZone } = settings;
    return [
        {
            name: ServiceName.SessionHosts,
            dependencies: [ServiceName.Clock, ServiceName.Directory, ServiceName.Duty],
            create: (clock: Clock, directory: Directory, duty: Duty) =>
                createSessionHosts({
                    clock,
                    self: { name, address: peerAddress, capacity },
                    directory,
                    otherVms: duty.otherVms,
                    isHost: duty.isHost,
                    regionOf: availabilityZone => regionsByZone[availabilityZone],
                }),
        },
        {
            name: ServiceName.SessionForwarding,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.Directory,
                ServiceName.SessionHosts,
                ServiceName.Peers,
                ServiceName.Logger,
            ],
            create: (
                clock: Clock,
                random: RandomSource,
                directory: Directory,
                hosts: SessionHosts,
                peers: Peers,
                logger: Logger,
            ) => createSessionForwarding({
                clock,
                directory,
                hosts,
                open: createSessionOpener({
                    peers,
                    clock,
                    routingTable: directory.routingTable,
                    keyPrefix: `${name}-${random.nextInteger(2 ** 32)}`,
                }),
                log: logger.topic("forwarding"),
            }),
        },
        {
            name: ServiceName.SessionHost,
            dependencies: [
                ServiceName.Clock,
                ServiceName.CallerSessions,
                ServiceName.Directory,
                ServiceName.Logger,
            ],
            create: (clock: Clock, sessions: CallerSessions, directory: Directory, logger: Logger) =>
                createSessionHost({
                    clock,
                    serve: sessions.serveForwarded,
                    routingVersion: directory.routingVersion,
                    applyRoutingTable: directory.applyRoutingTable,
                    log: logger.topic("forwarding"),
                }),
        },
    ];
}
