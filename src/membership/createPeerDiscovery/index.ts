import { checkPeerValue } from "../../dissemination/checkPeerValue/index.js";
import type { Address } from "../../network/types/Address.js";
import type { VmRecord } from "../../objectStore/types/VmRecord.js";
import { membershipConstants } from "../constants.js";
import type { createProbePlan } from "../createProbePlan/index.js";
import { digestRecords } from "../digestRecords/index.js";
import { membershipSchemas } from "../membershipSchemas.js";
import type { MembershipDependencies } from "../types/MembershipDependencies.js";
import type { MembershipRouter } from "../types/MembershipRouter.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";

/** Options of `createPeerDiscovery`. */
interface PeerDiscoveryOptions extends Omit<MembershipDependencies, "events"> {
    readonly table: PeerTable;
    readonly plan: ReturnType<typeof createProbePlan>;
    readonly seeds: readonly Address[];
    readonly signal: AbortSignal;
}

/** Discovers unknown gateways and removes the records of gateways that no longer exist. */
interface PeerDiscovery {
    /** Sends a join request to the seeds once. */
    start(): Promise<void>;
    /** Runs until the signal is aborted. */
    run(): Promise<void>;
}

/**
 * Creates the discovery of peers through the seeds and the platform's list of VMs, which only provides addresses for
 * join requests: the state of a gateway is never taken from the list.
 *
 * @param options Table, probe plan, seeds and services.
 * @returns The discovery, not yet started.
 *
 * @example
 * await discovery.start();
 */
export function createPeerDiscovery(options: PeerDiscoveryOptions): PeerDiscovery {
    const { table, plan, seeds, peers, platform, clock, random, signal } = options;
    const constants = membershipConstants;
    const log = options.logger.topic("membership");
    let previouslyAbsent = new Set<string>();

    const formatAddress = (address: Pick<Address, "host" | "port">): string => `${address.host}:${address.port}`;
    const isAlone = (): boolean => table.reachable().length <= 1;
    const createCallOptions = () => ({ signal: AbortSignal.timeout(constants.callTimeoutMilliseconds) });

    async function join(address: Address): Promise<void> {
        try {
            const client = peers.clientOf<MembershipRouter>(address);
            const answer: unknown = await client.membership.join.mutate(table.self(), createCallOptions());
            table.applyUpdates({ peers: checkPeerValue(membershipSchemas.records, answer), zones: [] });
        }
        catch (error) {
            log("join request to a gateway failed", { address: formatAddress(address), error: String(error) });
        }
    }

    async function joinSome(addresses: readonly Address[]): Promise<void> {
        const others = addresses.filter(address => formatAddress(address) !== formatAddress(table.self()));
        const chosen = random.shuffle(others).slice(0, constants.maximumJoinsPerIteration);
        await Promise.all(chosen.map(join));
    }

    /**
     * Removes unreachable gateways that are missing from the platform's list. Two consecutive reads must agree, because
     * the list lags behind.
     */
    function removeUnlisted(listed: ReadonlySet<string>): void {
        const isUnreachable = (record: PeerRecord): boolean =>
            record.state === PeerState.Dead || table.zone(record.availabilityZone)?.isLost === true;
        const absent = table.all().filter(record => isUnreachable(record) && !listed.has(formatAddress(record)));
        for (const record of absent) {
            if (previouslyAbsent.has(record.name)) {
                table.remove(record.name);
            }
        }
        previouslyAbsent = new Set(absent.map(record => record.name));
    }

    async function readList(): Promise<void> {
        let vms: readonly VmRecord[];
        try {
            vms = await platform.listVms();
        }
        catch (error) {
            log("the platform's list of VMs is unavailable; it is read again later", { error: String(error) });
            return;
        }
        const addresses = vms.map(vm => ({
            host: vm.host,
            port: vm.gatewayPort,
            availabilityZone: vm.availabilityZone,
        }));
        removeUnlisted(new Set(addresses.map(formatAddress)));
        const known = new Set(table.all().map(formatAddress));
        await joinSome(addresses.filter(address => !known.has(formatAddress(address))));
    }

    function removeLongDead(): void {
        for (const record of table.all()) {
            const diedAt = table.diedAt(record.name) ?? Infinity;
            if (clock.now() - diedAt > constants.deadRetentionMilliseconds) {
                table.remove(record.name);
            }
        }
    }

    async function discover(iteration: number): Promise<void> {
        if (isAlone()) {
            await joinSome(seeds);
        }
        if (plan.isBridge() && (!isAlone() || iteration > 0)) {
            await readList();
        }
        removeLongDead();
    }

    async function runDiscoveryLoop(): Promise<void> {
        for (let iteration = 0; !signal.aborted; iteration += 1) {
            const interval = isAlone()
                ? Math.min(
                    constants.initialDiscoveryIntervalMilliseconds * 2 ** iteration,
                    constants.discoveryIntervalMilliseconds,
                )
                : constants.discoveryIntervalMilliseconds;
            await clock.sleep(interval * (0.5 + 0.5 * random.next()), signal);
            if (!signal.aborted) {
                await discover(iteration);
            }
        }
    }

    async function synchronizeOnce(): Promise<void> {
        const [peer] = random.shuffle([...plan.localTargets(), ...plan.remoteTargets()]);
        if (peer === undefined) {
            return;
        }
        try {
            const digests = [...digestRecords(table.all())];
            const client = peers.clientOf<MembershipRouter>(peer);
            const answer: unknown = await client.membership.synchronize.query(digests, createCallOptions());
            table.applyUpdates({ peers: checkPeerValue(membershipSchemas.records, answer), zones: [] });
        }
        catch (error) {
            log("synchronization of records with a peer failed", { peer: peer.name, error: String(error) });
        }
    }

    async function runSynchronizationLoop(): Promise<void> {
        for (let iteration = 0; !signal.aborted; iteration += 1) {
            const interval = Math.min(
                constants.initialSynchronizationIntervalMilliseconds * 2 ** iteration,
                constants.maximumSynchronizationIntervalMilliseconds,
            );
            await clock.sleep(interval * (0.5 + random.next()), signal);
            if (!signal.aborted) {
                await synchronizeOnce();
            }
        }
    }

    async function start(): Promise<void> {
        await joinSome(seeds);
        if (isAlone()) {
            log("no seed gateway answered; this gateway starts without known peers", { seeds: seeds.length });
        }
    }

    async function run(): Promise<void> {
        await Promise.all([runDiscoveryLoop(), runSynchronizationLoop()]);
    }

    return { start, run };
}
