import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { PlatformStore } from "../../directory/types/PlatformStore.js";
import type { StoreFreshness } from "../../directory/types/StoreFreshness.js";
import { applyAnnouncement } from "../../duty/applyAnnouncement/index.js";
import { dutyConstants } from "../../duty/constants.js";
import { createDuty } from "../../duty/createDuty/index.js";
import { createDutyRouter } from "../../duty/createDutyRouter/index.js";
import { createVmPeers } from "../../duty/createVmPeers/index.js";
import type { Duty } from "../../duty/types/Duty.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { createForwardingRouter } from "../../forwarding/createForwardingRouter/index.js";
import type { SessionHost } from "../../forwarding/types/SessionHost.js";
import type { SessionHosts } from "../../forwarding/types/SessionHosts.js";
import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import type { Placement } from "../../placement/types/Placement.js";
import { createPromotionClient } from "../../platform/createPromotionClient/index.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { promotionConstants } from "../../promotions/constants.js";
import { createDeparture } from "../../promotions/createDeparture/index.js";
import { createEndpointControl } from "../../promotions/createEndpointControl/index.js";
import { createEndpointProbe } from "../../promotions/createEndpointProbe/index.js";
import { createGroupMembers } from "../../promotions/createGroupMembers/index.js";
import { createPrimaryChange } from "../../promotions/createPrimaryChange/index.js";
import { createPrimaryDecision } from "../../promotions/createPrimaryDecision/index.js";
import { createPromotionCoordinator } from "../../promotions/createPromotionCoordinator/index.js";
import { createSharedEndpoints } from "../../promotions/createSharedEndpoints/index.js";
import type { EndpointControl } from "../../promotions/types/EndpointControl.js";
import type { PromotionCoordinator } from "../../promotions/types/PromotionCoordinator.js";
import type { PromotionOrders } from "../../promotions/types/PromotionOrders.js";
import type { VmQuotas } from "../../quotas/types/VmQuotas.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createPeers } from "../../transport/createPeers/index.js";
import { createTransportServer } from "../../transport/createTransportServer/index.js";
import { trpc } from "../../transport/trpc/index.js";
import type { Peers } from "../../transport/types/Peers.js";
import type { VmSettings } from "../types/VmSettings.js";

/** Service that determines whether this VM can reach an endpoint. */
interface EndpointProbe {
    readonly probe: ReturnType<typeof createEndpointProbe>;
}

/**
 * Lists the services with which VMs elect the holder of the failover duty, and with which the holder changes primaries.
 *
 * @param settings Settings of the VM.
 * @returns The definitions of the services, for a kernel.
 *
 * @example
 * const definitions = listDutyServices(settings);
 */
export function listDutyServices(settings: VmSettings): ServiceDefinition[] {
    const { name, availabilityZone, peerAddress, capacity, regionsByZone } = settings;
    const { peerSecret } = dutyConstants;
    return [
        {
            name: ServiceName.Events,
            dependencies: [ServiceName.Clock],
            create: (clock: Clock) => createEventRecorder(name, clock),
        },
        {
            name: ServiceName.Peers,
            dependencies: [ServiceName.Events],
            create: (events: EventRecorder) =>
                createPeers({ name, availabilityZone, peerSecret }, createUnemulatedNetwork(availabilityZone), events),
        },
        {
            name: ServiceName.Duty,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Random,
                ServiceName.PlatformStore,
                ServiceName.Directory,
                ServiceName.StoreFreshness,
                ServiceName.Primaries,
                ServiceName.Peers,
                ServiceName.QuotaExchange,
                ServiceName.Logger,
            ],
            create: (
                clock: Clock,
                random: RandomSource,
                store: PlatformStore,
                directory: Directory,
                freshness: StoreFreshness,
                primaries: Primaries,
                peers: Peers,
                quotas: VmQuotas,
                logger: Logger,
            ) => createDuty({
                clock,
                random,
                records: store.records,
                directory,
                freshness,
                isFirstStart: settings.isFirstStart,
                self: { name, address: peerAddress, capacity, incarnation: `${random.nextInteger(2 ** 32)}` },
                peerOf: createVmPeers(peers, clock),
                onAnnouncement: announcement => applyAnnouncement(primaries, announcement),
                quotas,
                log: logger.topic("duty"),
            }),
        },
        {
            name: ServiceName.EndpointControl,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Directory,
                ServiceName.Placement,
                ServiceName.SessionHosts,
                ServiceName.Peers,
            ],
            create: (clock: Clock, directory: Directory, placement: Placement, hosts: SessionHosts, peers: Peers) =>
                createEndpointControl({
                    clock,
                    directory,
                    placement,
                    connectedVms: hosts.otherHostsOf,
                    peerOf: createVmPeers(peers, clock),
                }),
        },
        {
            name: ServiceName.EndpointProbe,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Directory,
                ServiceName.Placement,
                ServiceName.Primaries,
                ServiceName.EndpointControl,
                ServiceName.Logger,
            ],
            create: (
                clock: Clock,
                directory: Directory,
                placement: Placement,
                primaries: Primaries,
                control: EndpointControl,
                logger: Logger,
            ): EndpointProbe => {
                const log = logger.topic("promotions");
                return { probe: createEndpointProbe({ clock, directory, placement, primaries, control, log }) };
            },
        },
        {
            name: ServiceName.TransportServer,
            dependencies: [
                ServiceName.Duty,
                ServiceName.EndpointControl,
                ServiceName.EndpointProbe,
                ServiceName.SessionHost,
                ServiceName.Events,
                ServiceName.Logger,
            ],
            create: (
                duty: Duty,
                control: EndpointControl,
                { probe }: EndpointProbe,
                host: SessionHost,
                events: EventRecorder,
                logger: Logger,
            ) => createTransportServer({
                host: peerAddress.host,
                port: peerAddress.port,
                peerSecret,
                router: trpc.mergeRouters(createDutyRouter(duty, control.run, probe), createForwardingRouter(host)),
                events,
                logger,
            }),
        },
        {
            name: ServiceName.PromotionOrders,
            dependencies: [],
            create: () =>
                createPromotionClient(settings.promotionAddress, {
                    timeoutMilliseconds: promotionConstants.orderTimeoutMilliseconds,
                }),
        },
        {
            name: ServiceName.PromotionCoordinator,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Directory,
                ServiceName.Primaries,
                ServiceName.Duty,
                ServiceName.EndpointControl,
                ServiceName.EndpointProbe,
                ServiceName.PromotionOrders,
                ServiceName.SessionHosts,
                ServiceName.Peers,
                ServiceName.Metrics,
                ServiceName.Logger,
                ServiceName.PlatformStore,
                ServiceName.TransportServer,
            ],
            create: (
                clock: Clock,
                directory: Directory,
                primaries: Primaries,
                duty: Duty,
                control: EndpointControl,
                { probe }: EndpointProbe,
                orders: PromotionOrders,
                hosts: SessionHosts,
                peers: Peers,
                metrics: Metrics,
                logger: Logger,
                store: PlatformStore,
            ) => {
                const log = logger.topic("promotions");
                const end = new AbortController();
                const members = createGroupMembers({
                    clock,
                    directory,
                    primaries,
                    records: store.records,
                    control,
                    heldToken: duty.heldToken,
                    log,
                });
                const sharedEndpoints = createSharedEndpoints({ clock, directory, duty, records: store.records, log });
                const changePrimary = createPrimaryChange({
                    members,
                    sharedEndpoints,
                    signal: end.signal,
                    clock,
                    directory,
                    duty,
                    control,
                    orders,
                    vmName: name,
                    regionsByZone,
                    primaries,
                    log,
                });
                const peerOf = createVmPeers(peers, clock);
                return createPromotionCoordinator({
                    end,
                    clock,
                    directory,
                    primaries,
                    duty,
                    probe,
                    connectedVms: hosts.otherHostsOf,
                    peerOf,
                    members,
                    sharedEndpoints,
                    changePrimary,
                    decidePrimary: createPrimaryDecision({ directory, duty, control, termOf: primaries.termOf, log }),
                    metrics,
                    log,
                });
            },
        },
        {
            name: ServiceName.Departure,
            dependencies: [
                ServiceName.Clock,
                ServiceName.Duty,
                ServiceName.PromotionCoordinator,
                ServiceName.Logger,
            ],
            create: (clock: Clock, duty: Duty, coordinator: PromotionCoordinator, logger: Logger) =>
                createDeparture({
                    clock,
                    duty,
                    coordinator,
                    graceMilliseconds: settings.graceMilliseconds,
                    log: logger.topic("duty"),
                }),
        },
    ];
}
