import type { AnyTRPCRouter } from "@trpc/server";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { DatabaseDefinition } from "../../configuration/types/DatabaseDefinition.js";
import type { VersionedConfiguration } from "../../configuration/types/VersionedConfiguration.js";
import { createDisseminationRouter } from "../../dissemination/createDisseminationRouter/index.js";
import { createDisseminationService } from "../../dissemination/createDisseminationService/index.js";
import { RecordKind } from "../../dissemination/types/RecordKind.js";
import { createEndpointDriver } from "../../endpoints/createEndpointDriver/index.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import type { EventKind } from "../../events/types/EventKind.js";
import type { TimelineEvent } from "../../events/types/TimelineEvent.js";
import { createFailoverRouter } from "../../failover/createFailoverRouter/index.js";
import { createFailoverService } from "../../failover/createFailoverService/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { startEndpointGroup } from "../../standIns/endpoint/startEndpointGroup/index.js";
import { createTermReservation } from "../../terms/createTermReservation/index.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import { trpc } from "../../transport/trpc/index.js";
import { createCuttableDriver } from "../createCuttableDriver/index.js";
import { createDirectPeers } from "../createDirectPeers/index.js";
import { createFixedMembership } from "../createFixedMembership/index.js";
import { createMemoryPlatform } from "../createMemoryPlatform/index.js";

/** Options of `createFailoverFleet`. */
interface FailoverFleetOptions {
    /** Gateways in each of the three availability zones. */
    readonly gatewaysPerZone: number;
    readonly seed: number;
    /** Endpoints and platform of an earlier fleet; new ones are created if omitted. */
    readonly earlier?: {
        readonly group: Awaited<ReturnType<typeof startEndpointGroup>>;
        readonly platform: ReturnType<typeof createMemoryPlatform>;
    };
}

const clock = createSystemClock();
const zones = ["zone-a", "zone-b", "zone-c"];

/**
 * Creates gateways with failover services and a group of endpoint stand-ins for tests, all in this process.
 *
 * The group is the database `stock`; its endpoints stock-1, stock-2 and stock-3 are configured in zone-a, zone-b and
 * zone-c of one region. Gateways call each other directly.
 *
 * @param options Number of gateways, seed, and an earlier fleet whose endpoints and platform are used.
 * @returns The fleet, not yet started.
 *
 * @example
 * const fleet = await createFailoverFleet({ gatewaysPerZone: 2, seed: 1 });
 * await fleet.start();
 */
export async function createFailoverFleet(options: FailoverFleetOptions) {
    const group = options.earlier?.group ?? await startEndpointGroup({ connectionLimit: 60 });
    const platform = options.earlier?.platform ?? createMemoryPlatform();
    const routers = new Map<number, AnyTRPCRouter>();
    const timeline: TimelineEvent[] = [];
    const definition: DatabaseDefinition = {
        initialPrimary: "stock-1",
        endpoints: Object.fromEntries(
            Object.keys(group.endpoints).map((name, index) => [name, {
                ...group.addressOf(name),
                availabilityZone: zones[index] as string,
                region: "north",
                slots: 3,
                connectionLimit: 60,
            }]),
        ),
    };
    const configuration = {
        current: () =>
            ({ version: 1, content: { databases: { stock: definition } } }) as unknown as VersionedConfiguration,
        onChange: () => () => {},
        start: async () => {},
        stop: async () => {},
    } satisfies ConfigurationService;
    const records: PeerRecord[] = Array.from({ length: options.gatewaysPerZone * zones.length }, (_, index) => ({
        name: `gateway-${index + 1}`,
        host: "127.0.0.1",
        port: index + 1,
        availabilityZone: zones[index % zones.length] as string,
        region: "north",
        state: PeerState.Live,
        incarnation: 0,
    }));

    function createGateway(self: PeerRecord) {
        const events = createEventRecorder(self.name, clock);
        events.onEvent(event => timeline.push(event));
        const random = createRandomSource(options.seed * 1_000 + self.port);
        const logger = createLogger(self.name, clock);
        const membership = createFixedMembership(self, records);
        const driver = createCuttableDriver(createEndpointDriver(createUnemulatedNetwork(self.availabilityZone)));
        const peers = createDirectPeers({ peerName: self.name, peerZone: self.availabilityZone }, { routers });
        const dissemination = createDisseminationService({ membership, peers, clock, random, logger });
        const terms = createTermReservation({ platform, clock, random, events });
        const dependencies = {
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
        };
        const failover = createFailoverService(dependencies);
        routers.set(
            self.port,
            trpc.mergeRouters(createDisseminationRouter(dissemination), createFailoverRouter(failover)),
        );
        const start = async (): Promise<void> => {
            await dissemination.start();
            await failover.start();
        };
        const stop = async (): Promise<void> => {
            routers.delete(self.port);
            await failover.stop();
            await dissemination.stop();
        };
        return { self, membership, driver, dissemination, terms, failover, dependencies, start, stop };
    }

    const gateways = records.map(createGateway);

    function record(): GroupRecord | undefined {
        const knownRecords = gateways.map(gateway => gateway.dissemination.get(RecordKind.Group, "stock"));
        const newest = knownRecords.sort((left, right) => (right?.stamp ?? 0) - (left?.stamp ?? 0))[0];
        return newest?.value as GroupRecord | undefined;
    }

    /** Rejects after 60 s, with the condition in the message. */
    function waitUntil(condition: () => boolean): Promise<void> {
        const deadline = clock.now() + 60_000;
        return new Promise((resolve, reject) => {
            const checkCondition = (): void => {
                if (condition()) {
                    clearInterval(timer);
                    resolve();
                }
                else if (clock.now() > deadline) {
                    clearInterval(timer);
                    reject(new Error(`This condition did not hold within 60 s: ${String(condition)}`));
                }
            };
            const timer = setInterval(checkCondition, 2);
        });
    }

    async function waitForTermAbove(term: number): Promise<GroupRecord> {
        await waitUntil(() => (record()?.term ?? 0) > term);
        return record() as GroupRecord;
    }

    return {
        group,
        platform,
        gateways,
        timeline,
        record,
        waitUntil,
        waitForTermAbove,
        switchesOf: (endpoint: string) => group.endpoints[endpoint]!.core.switches,
        statuses: () => Object.values(group.endpoints).map(endpoint => endpoint.core.readStatus()),
        eventsOf: (kind: EventKind) => timeline.filter(event => event.kind === kind),
        /** The gateways that currently are coordinators. */
        coordinators: () => gateways.filter(gateway => gateway.failover.state().length > 0),
        start: async () => {
            await Promise.all(gateways.map(gateway => gateway.start()));
        },
        stopGateways: async () => {
            await Promise.all(gateways.map(gateway => gateway.stop()));
        },
    };
}
