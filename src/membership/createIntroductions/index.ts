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

/** What introductions work with. */
interface IntroductionsOptions extends Omit<MembershipDependencies, "events"> {
    readonly table: PeerTable;
    readonly plan: ReturnType<typeof createProbePlan>;
    readonly seeds: readonly Address[];
    readonly signal: AbortSignal;
}

/** Finds gateways that this one does not know, and forgets those that are gone for good. */
interface Introductions {
    /** Asks the seeds once. */
    start(): Promise<void>;
    /** Runs until the signal is aborted. */
    run(): Promise<void>;
}

/**
 * Creates the introductions: seeds first, then the platform's list, which only names addresses to ask.
 *
 * @param options Table, plan, seeds and services.
 * @returns The introductions, not yet started.
 *
 * @example
 * await introductions.start();
 */
export function createIntroductions(options: IntroductionsOptions): Introductions {
    const { table, plan, seeds, peers, platform, clock, random, signal } = options;
    const constants = membershipConstants;
    const log = options.logger.topic("membership");
    let previouslyAbsent = new Set<string>();

    const keyOf = (address: Pick<Address, "host" | "port">): string => `${address.host}:${address.port}`;
    const isAlone = (): boolean => table.reachable().length <= 1;
    const callLimit = () => ({ signal: AbortSignal.timeout(constants.callTimeoutMilliseconds) });

    async function join(address: Address): Promise<void> {
        try {
            const client = peers.clientOf<MembershipRouter>(address);
            const answer: unknown = await client.membership.join.mutate(table.self(), callLimit());
            table.learn({ peers: checkPeerValue(membershipSchemas.records, answer), zones: [] });
        }
        catch (error) {
            log("join failed", { address: keyOf(address), error: String(error) });
        }
    }

    async function joinSome(addresses: readonly Address[]): Promise<void> {
        const others = addresses.filter(address => keyOf(address) !== keyOf(table.self()));
        const chosen = random.shuffle(others).slice(0, constants.introductionsPerRound);
        await Promise.all(chosen.map(join));
    }

    /** Forgets who is gone and stands in the list no more, at two readings in a row because the list lags. */
    function retire(listed: ReadonlySet<string>): void {
        const isGone = (record: PeerRecord): boolean =>
            record.state === PeerState.Dead || table.zone(record.availabilityZone)?.isLost === true;
        const absent = table.all().filter(record => isGone(record) && !listed.has(keyOf(record)));
        for (const record of absent) {
            if (previouslyAbsent.has(record.name)) {
                table.forget(record.name);
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
            log("the platform's list of VMs is unavailable", { error: String(error) });
            return;
        }
        const addresses = vms.map(vm => ({
            host: vm.host,
            port: vm.gatewayPort,
            availabilityZone: vm.availabilityZone,
        }));
        retire(new Set(addresses.map(keyOf)));
        const known = new Set(table.all().map(keyOf));
        await joinSome(addresses.filter(address => !known.has(keyOf(address))));
    }

    function forgetOldDeaths(): void {
        for (const record of table.all()) {
            const diedAt = table.diedAt(record.name) ?? Infinity;
            if (clock.now() - diedAt > constants.deadRetentionMilliseconds) {
                table.forget(record.name);
            }
        }
    }

    async function introduce(round: number): Promise<void> {
        if (isAlone()) {
            await joinSome(seeds);
        }
        if (plan.isBridge() && (!isAlone() || round > 0)) {
            await readList();
        }
        forgetOldDeaths();
    }

    async function introduceRepeatedly(): Promise<void> {
        for (let round = 0; !signal.aborted; round += 1) {
            const longest = isAlone()
                ? Math.min(constants.aloneIntervalMilliseconds * 2 ** round, constants.introductionIntervalMilliseconds)
                : constants.introductionIntervalMilliseconds;
            await clock.sleep(longest * (0.5 + 0.5 * random.next()), signal);
            if (!signal.aborted) {
                await introduce(round);
            }
        }
    }

    async function synchronizeOnce(): Promise<void> {
        const [peer] = random.shuffle([...plan.localSubjects(), ...plan.remoteSubjects()]);
        if (peer === undefined) {
            return;
        }
        try {
            const digests = [...digestRecords(table.all())];
            const client = peers.clientOf<MembershipRouter>(peer);
            const answer: unknown = await client.membership.synchronize.query(digests, callLimit());
            table.learn({ peers: checkPeerValue(membershipSchemas.records, answer), zones: [] });
        }
        catch (error) {
            log("synchronization failed", { peer: peer.name, error: String(error) });
        }
    }

    async function synchronizeRepeatedly(): Promise<void> {
        for (let round = 0; !signal.aborted; round += 1) {
            const interval = Math.min(
                constants.firstSynchronizationMilliseconds * 2 ** round,
                constants.synchronizationIntervalMilliseconds,
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
            log("no seed gateway answered; starting alone", { seeds: seeds.length });
        }
    }

    async function run(): Promise<void> {
        await Promise.all([introduceRepeatedly(), synchronizeRepeatedly()]);
    }

    return { start, run };
}
