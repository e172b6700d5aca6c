import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { createMembershipRouter } from "../../membership/createMembershipRouter/index.js";
import { createMembershipService } from "../../membership/createMembershipService/index.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createPeers } from "../../transport/createPeers/index.js";
import { createTransportServer } from "../../transport/createTransportServer/index.js";
import type { Peers } from "../../transport/types/Peers.js";

/** Options of `startMembershipFleet`. */
interface MembershipFleetOptions {
    readonly gateways: number;
    readonly zones: number;
    readonly randomSeed: number;
}

/** Gateways in one process that run only transport and membership. */
interface MembershipFleet {
    readonly members: readonly MembershipService[];
    /** Traffic of the fleet and reads of the VM list since its start. */
    readonly counts: { bytes: number; frames: number; listReads: number; };
    /** Ends one gateway without notifying the others. */
    crash(index: number): Promise<void>;
    stop(): Promise<void>;
}

/**
 * Starts a fleet of gateways in this process, each on its own port.
 *
 * @param options Number of gateways and zones, and the seed of all randomness.
 * @returns The running fleet; its membership may not have converged yet.
 *
 * @example
 * const fleet = await startMembershipFleet({ gateways: 8, zones: 3, randomSeed: 1 });
 */
export async function startMembershipFleet(options: MembershipFleetOptions): Promise<MembershipFleet> {
    const clock = createSystemClock();
    const counts = { bytes: 0, frames: 0, listReads: 0 };
    const members: MembershipService[] = [];
    const crashes: (() => Promise<void>)[] = [];
    const seeds: { host: string; port: number; availabilityZone: string; }[] = [];

    function createCountingNetwork(localZone: string): NetworkConditions {
        return {
            ...createUnemulatedNetwork(localZone),
            countBytes: (_from, _to, bytes) => {
                counts.bytes += bytes;
                counts.frames += 1;
            },
        };
    }

    async function add(index: number): Promise<void> {
        const name = `gateway-${index}`;
        const availabilityZone = `zone-${index % options.zones}`;
        const peerSecret = "measurement-secret";
        const events = createEventRecorder(name, clock);
        const logger = createLogger(name, clock);
        const network = createCountingNetwork(availabilityZone);
        const peers = createPeers({ name, availabilityZone, peerSecret }, network, events);
        const state = { isCrashed: false };
        const clientOf: Peers["clientOf"] = address => {
            if (state.isCrashed) {
                throw createError(ErrorKind.Unreachable, `${name} has crashed.`, { remedy: "Start it again." });
            }
            return peers.clientOf(address);
        };
        const created: { service?: ReturnType<typeof createMembershipService>; } = {};
        const getService = (): ReturnType<typeof createMembershipService> =>
            created.service as ReturnType<typeof createMembershipService>;
        const router = createMembershipRouter({
            probe: (message, caller) => getService().probe(message, caller),
            probeFor: request => getService().probeFor(request),
            join: (record, caller) => getService().join(record, caller),
            synchronize: digests => getService().synchronize(digests),
        });
        const server = createTransportServer({ host: "127.0.0.1", port: 0, peerSecret, router, events, logger });

        await server.start();
        const address = { host: "127.0.0.1", port: server.port(), availabilityZone };
        const service = createMembershipService({
            self: { ...address, name, region: "measured" },
            seeds: [...seeds],
        }, {
            peers: { ...peers, clientOf },
            clock,
            events,
            logger,
            random: createRandomSource(options.randomSeed + index),
            platform: {
                listVms: async () => {
                    counts.listReads += 1;
                    return [];
                },
            },
        });
        created.service = service;
        members.push(service);
        crashes.push(async () => {
            state.isCrashed = true;
            await Promise.all([server.stop(), service.stop(), peers.stop()]);
        });
        if (seeds.length < options.zones) {
            seeds.push(address);
        }
        await service.start();
    }

    for (let index = 0; index < options.gateways; index += 1) {
        await add(index);
    }

    async function crash(index: number): Promise<void> {
        const [crashGateway] = crashes.splice(index, 1);
        members.splice(index, 1);
        await crashGateway?.();
    }

    async function stop(): Promise<void> {
        await Promise.all(crashes.splice(0).map(crashGateway => crashGateway()));
    }

    return { members, counts, crash, stop };
}
