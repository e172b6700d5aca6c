import type { Clock } from "../../clock/types/Clock.js";
import type { Logger } from "../../logging/types/Logger.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { Peers } from "../../transport/types/Peers.js";
import { choosePushTargets } from "../choosePushTargets/index.js";
import { compareWithPeer } from "../compareWithPeer/index.js";
import { disseminationConstants } from "../constants.js";
import { createPushQueue } from "../createPushQueue/index.js";
import { createRecordStore } from "../createRecordStore/index.js";
import type { DisseminatedRecord } from "../types/DisseminatedRecord.js";
import type { DisseminationExchange } from "../types/DisseminationExchange.js";
import type { DisseminationRouter } from "../types/DisseminationRouter.js";
import type { DisseminationService } from "../types/DisseminationService.js";
import type { RecordKind } from "../types/RecordKind.js";

/** Services that the dissemination service uses. */
interface DisseminationDependencies {
    readonly membership: MembershipService;
    readonly peers: Peers;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
}

/**
 * Creates the service that distributes records to all gateways.
 *
 * A new record is pushed at once to a bounded number of peers; a peer that did not have the record passes it on. About
 * once a second, digests are compared with one random peer, which repairs missed pushes and sends all records to a
 * process that has just started. Records are kept in memory only: they are hints.
 *
 * @param dependencies Services that it uses.
 * @returns The service, with the exchange that its router needs; not yet started.
 *
 * @example
 * const dissemination = createDisseminationService({ membership, peers, clock, random, logger });
 * dissemination.publish({ kind: RecordKind.Group, key: "stock", stamp: 4, value: group });
 */
export function createDisseminationService(
    dependencies: DisseminationDependencies,
): DisseminationService & DisseminationExchange {
    const { membership, peers, clock, random } = dependencies;
    const log = dependencies.logger.topic("dissemination");
    const store = createRecordStore();
    const listeners = new Map<RecordKind, Set<(record: DisseminatedRecord) => void>>();
    const closeController = new AbortController();
    let hasCompared = false;
    let loop: Promise<void> | undefined;
    let stopListening = (): void => {};

    const clientOf = (peer: PeerRecord) => peers.clientOf<DisseminationRouter>(peer);
    const queue = createPushQueue({
        clock,
        push: (peer, records) =>
            clientOf(peer).dissemination.push.mutate([...records], {
                signal: AbortSignal.timeout(disseminationConstants.callTimeoutMilliseconds),
            }),
    });

    function applyRecord(record: DisseminatedRecord, sender?: string): boolean {
        if (!store.applyRecord(record)) {
            return false;
        }
        for (const peer of choosePushTargets(membership.self, membership.peers(), { random, sender })) {
            queue.add(peer, record);
        }
        for (const listener of listeners.get(record.kind) ?? []) {
            listener(record);
        }
        return true;
    }

    function receive(records: readonly DisseminatedRecord[], peerName: string): void {
        for (const record of records) {
            applyRecord(record, peerName);
        }
    }

    function onRecord(kind: RecordKind, listener: (record: DisseminatedRecord) => void): () => void {
        const kindListeners = listeners.get(kind) ?? new Set();
        listeners.set(kind, kindListeners.add(listener));
        return () => kindListeners.delete(listener);
    }

    function chooseComparisonPeer(): PeerRecord | undefined {
        const others = random.shuffle(membership.peers().filter(peer => peer.name !== membership.self.name));
        const isLocal = (peer: PeerRecord): boolean => peer.availabilityZone === membership.self.availabilityZone;
        const shouldBeLocal = hasCompared && random.next() >= disseminationConstants.otherZoneShare;
        return others.find(peer => isLocal(peer) === shouldBeLocal) ?? others[0];
    }

    async function compareOnce(): Promise<void> {
        const peer = chooseComparisonPeer();
        if (peer === undefined) {
            return;
        }
        try {
            await compareWithPeer(store, clientOf(peer), { receive: records => receive(records, peer.name) });
            hasCompared = true;
        }
        catch (error) {
            log("comparison of records with a peer failed; a later comparison repairs the differences", {
                peer: peer.name,
                error: String(error),
            });
        }
    }

    async function runComparisonLoop(): Promise<void> {
        while (!closeController.signal.aborted) {
            await compareOnce();
            const jitter = 0.5 + random.next();
            await clock.sleep(disseminationConstants.comparisonIntervalMilliseconds * jitter, closeController.signal);
        }
    }

    async function start(): Promise<void> {
        stopListening = membership.onChange(() => {
            if (!hasCompared) {
                void compareOnce();
            }
        });
        await compareOnce();
        loop = runComparisonLoop();
    }

    async function stop(): Promise<void> {
        stopListening();
        closeController.abort();
        await loop;
    }

    return {
        publish: record => applyRecord(record),
        get: store.get,
        list: store.list,
        onRecord,
        start,
        stop,
        receive,
        compare: store.compare,
        pull: store.answerPull,
    };
}
