import { setMaxListeners } from "node:events";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { EventKind } from "../../events/types/EventKind.js";
import { hashText } from "../../hashing/hashText/index.js";
import type { Address } from "../../network/types/Address.js";
import type { PeerContext } from "../../transport/types/PeerContext.js";
import { membershipConstants } from "../constants.js";
import { createPeerDiscovery } from "../createPeerDiscovery/index.js";
import { createPeerTable } from "../createPeerTable/index.js";
import { createProbePlan } from "../createProbePlan/index.js";
import { createProber } from "../createProber/index.js";
import { createProbeSender } from "../createProbeSender/index.js";
import { createSuspicions } from "../createSuspicions/index.js";
import { createUpdateQueue } from "../createUpdateQueue/index.js";
import { digestRecords } from "../digestRecords/index.js";
import type { MembershipDependencies } from "../types/MembershipDependencies.js";
import type { MembershipExchange } from "../types/MembershipExchange.js";
import type { MembershipService } from "../types/MembershipService.js";
import type { MembershipUpdates } from "../types/MembershipUpdates.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";
import type { ProbeMessage } from "../types/ProbeMessage.js";

/** Options of `createMembershipService`. */
interface MembershipOptions {
    /** Identity and address of this gateway. */
    readonly self: Omit<PeerRecord, "state" | "incarnation">;
    /** Addresses to which this gateway sends its first join requests. */
    readonly seeds: readonly Address[];
}

/**
 * Creates the membership service: probes, indirect probes and suspicions as in SWIM, but with a stable set of targets.
 *
 * @param options Identity of this gateway, and the seed gateways.
 * @param dependencies Services that it uses.
 * @returns The service, with the exchange that its router needs; not yet started.
 *
 * @example
 * const membership = createMembershipService({ self, seeds: settings.seedGateways }, dependencies);
 */
export function createMembershipService(
    options: MembershipOptions,
    dependencies: MembershipDependencies,
): MembershipService & MembershipExchange {
    const { clock, random, peers, events } = dependencies;
    const closeController = new AbortController();
    const { signal } = closeController;
    // Every pending suspicion and sleep listens to this signal, which exceeds the default limit of listeners.
    setMaxListeners(0, signal);
    const queue = createUpdateQueue({
        fleetSize: () => table.reachable().length,
        zoneCount: () => new Set(table.reachable().map(record => record.availabilityZone)).size,
    });
    const table: PeerTable = createPeerTable({ ...options.self, state: PeerState.Live, incarnation: 0 }, {
        clock,
        queue,
        onTransition: record =>
            events.record({
                kind: EventKind.PeerChanged,
                text: `Gateway ${record.name} is ${record.state} at incarnation ${record.incarnation}.`,
            }),
    });
    const plan = createProbePlan(table);
    const probeSender = createProbeSender({ table, queue, peers, clock, random });
    const suspicions = createSuspicions({
        table,
        clock,
        zoneSize: availabilityZone => plan.membersOf(availabilityZone).length,
        signal,
    });
    const prober = createProber({ table, plan, probeSender, suspicions, clock, random, signal });
    const discovery = createPeerDiscovery({ ...dependencies, table, plan, seeds: options.seeds, signal });
    let loops: Promise<unknown> = Promise.resolve();

    function probe(message: ProbeMessage, from: PeerContext): MembershipUpdates {
        if (message.target !== table.self().name) {
            throw createError(ErrorKind.NotFound, `This gateway is ${table.self().name}, not ${message.target}.`, {
                remedy: "Send the probe to the current address of the gateway.",
            });
        }
        const isSameZone = from.peerZone === table.self().availabilityZone;
        table.applyUpdates(isSameZone ? message.updates : { ...message.updates, zones: [] });
        const known = table.find(from.peerName);
        const callerRecord = known === undefined || known.state === PeerState.Live ? [] : [known];
        const updates = queue.selectForMessage(isSameZone);
        return { ...updates, peers: [...updates.peers, ...callerRecord] };
    }

    function join(record: PeerRecord, from: PeerContext): readonly PeerRecord[] {
        if (record.name !== from.peerName) {
            throw createError(
                ErrorKind.InvalidRequest,
                `Gateway ${from.peerName} presented itself as ${record.name} in a join request.`,
                {
                    remedy: "Set the same name for both in the settings of the gateway.",
                },
            );
        }
        table.applyUpdates({ peers: [record], zones: [] });
        return table.all().filter(known => known.state !== PeerState.Dead || known.name === record.name);
    }

    function synchronize(remoteDigests: readonly number[]): readonly PeerRecord[] {
        const ownDigests = digestRecords(table.all());
        const differs = (record: PeerRecord): boolean => {
            const bucket = hashText(record.name) % membershipConstants.synchronizationBucketCount;
            return ownDigests[bucket] !== remoteDigests[bucket];
        };
        return random.shuffle(table.all().filter(differs)).slice(0, membershipConstants.maximumRecordsPerAnswer);
    }

    async function announce(state: PeerState): Promise<void> {
        table.setOwnState(state);
        const localPeers = random.shuffle(plan.localTargets()).slice(0, membershipConstants.leaveFanOut);
        await Promise.all(
            [...localPeers, ...plan.remoteTargets()].map(peer =>
                probeSender.probeDirectly({ ...peer, target: peer.name })
            ),
        );
    }

    async function start(): Promise<void> {
        await discovery.start();
        loops = Promise.all([prober.run(), discovery.run()]);
    }

    async function stop(): Promise<void> {
        await announce(PeerState.Dead);
        closeController.abort();
        await loops;
    }

    return {
        get self() {
            return table.self();
        },
        peers: table.reachable,
        onChange: table.onChange,
        leave: () => announce(PeerState.Leaving),
        start,
        stop,
        probe,
        probeFor: probeSender.probeDirectly,
        join,
        synchronize,
    };
}
