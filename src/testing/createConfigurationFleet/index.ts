import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { createConfigurationRouter } from "../../configuration/createConfigurationRouter/index.js";
import { createConfigurationService } from "../../configuration/createConfigurationService/index.js";
import type { GatewayConfiguration } from "../../configuration/types/GatewayConfiguration.js";
import { createDisseminationRouter } from "../../dissemination/createDisseminationRouter/index.js";
import { createDisseminationService } from "../../dissemination/createDisseminationService/index.js";
import { createEventArchive } from "../../events/createEventArchive/index.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createEventsRouter } from "../../events/createEventsRouter/index.js";
import { EventKind } from "../../events/types/EventKind.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createFailoverGaps } from "../../status/createFailoverGaps/index.js";
import { createStatusRegistry } from "../../status/createStatusRegistry/index.js";
import { createStatusRouter } from "../../status/createStatusRouter/index.js";
import { ProcessKind } from "../../status/types/ProcessKind.js";
import { createPeers } from "../../transport/createPeers/index.js";
import { createTransportServer } from "../../transport/createTransportServer/index.js";
import { trpc } from "../../transport/trpc/index.js";
import { createCountingPlatform } from "../createCountingPlatform/index.js";
import { createFixedMembership } from "../createFixedMembership/index.js";
import { createLinkedDissemination } from "../createLinkedDissemination/index.js";
import type { ConfigurationFleet } from "../types/ConfigurationFleet.js";

const peerSecret = "secret-of-the-fleet";
const zones = ["a", "b", "c"];

/** Options of `createConfigurationFleet`. */
interface FleetOptions {
    readonly clock?: Clock;
    /** Spreads announcements with the dissemination service over loopback, instead of directly within the process. */
    readonly hasRealDissemination?: boolean;
}

/**
 * Creates gateways in one process for tests and benchmarks of the configuration.
 *
 * @param seed Seed of all randomness.
 * @param options A clock other than the system's, and the kind of dissemination.
 * @returns The fleet, initially without gateways.
 *
 * @example
 * const fleet = createConfigurationFleet(7);
 * const gateway = await fleet.add();
 */
export function createConfigurationFleet(seed: number, options: FleetOptions = {}): ConfigurationFleet {
    const platform = createCountingPlatform();
    const linkedDissemination = createLinkedDissemination();
    const clock = options.clock ?? createSystemClock();
    const random = createRandomSource(seed);
    const members = new Map<string, FleetMember>();
    let lastGatewayNumber = 0;

    function updateMemberships(): void {
        const records = [...members.values()].map(member => member.membership.self);
        for (const member of members.values()) {
            member.membership.setPeers(records);
        }
    }

    async function add(): ReturnType<ConfigurationFleet["add"]> {
        lastGatewayNumber += 1;
        const name = `gateway-${lastGatewayNumber}`;
        const availabilityZone = zones[lastGatewayNumber % zones.length] as string;
        const address = { host: "127.0.0.1", port: 0, availabilityZone };
        const self = { ...address, name, region: "north", state: PeerState.Live, incarnation: 1 };
        const membership = createFixedMembership(self, [self]);
        const events = createEventRecorder(name, clock);
        const logger = createLogger(name, clock);
        const peers = createPeers(
            { name, availabilityZone, peerSecret },
            createUnemulatedNetwork(availabilityZone),
            events,
        );
        const realDissemination = createDisseminationService({ membership, peers, clock, random, logger });
        const dissemination = options.hasRealDissemination === true ? realDissemination : linkedDissemination.join();
        const configuration = createConfigurationService({
            platform,
            membership,
            dissemination,
            peers,
            seedGateways: [],
            events,
            clock,
            random,
            logger,
        });
        const statusRegistry = createStatusRegistry({
            process: name,
            kind: ProcessKind.Gateway,
            availabilityZone,
            providers: [
                () => ({ version: configuration.current().version, gateways: membership.peers() }),
                createFailoverGaps(events, clock),
            ],
            clock,
            requestStop: () => events.record({ kind: EventKind.ProcessStopping, text: "Stop requested." }),
        });
        const router = trpc.mergeRouters(
            createConfigurationRouter(configuration),
            createDisseminationRouter(realDissemination),
            createEventsRouter(createEventArchive(events)),
            createStatusRouter(statusRegistry),
        );
        const server = createTransportServer({ host: "127.0.0.1", port: 0, peerSecret, router, events, logger });
        await server.start();
        address.port = server.port();
        self.port = server.port();

        async function stop(): Promise<void> {
            members.delete(name);
            updateMemberships();
            await configuration.stop();
            await dissemination.stop();
            await Promise.all([peers.stop(), server.stop()]);
        }

        members.set(name, { membership, configuration, stop });
        updateMemberships();
        await dissemination.start();
        await configuration.start();
        return { name, address, configuration, events, peers, stop };
    }

    async function waitForVersion(version: number): Promise<void> {
        await Promise.all([...members.values()].map(({ configuration }) =>
            new Promise<void>(resolve => {
                const unsubscribe = configuration.onChange(check);
                function check(): void {
                    if (configuration.current().version >= version) {
                        unsubscribe();
                        resolve();
                    }
                }
                check();
            })
        ));
    }

    async function stop(): Promise<void> {
        await Promise.all([...members.values()].map(member => member.stop()));
    }

    return { platform, add, setAnnouncing: linkedDissemination.setConnected, waitForVersion, stop };
}

interface FleetMember {
    readonly membership: ReturnType<typeof createFixedMembership>;
    readonly configuration: GatewayConfiguration;
    stop(): Promise<void>;
}
