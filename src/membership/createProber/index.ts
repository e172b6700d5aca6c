import type { Clock } from "../../clock/types/Clock.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { membershipConstants } from "../constants.js";
import type { createProbePlan } from "../createProbePlan/index.js";
import type { createProbeSender } from "../createProbeSender/index.js";
import type { createSuspicions } from "../createSuspicions/index.js";
import { cycleProbeTargets } from "../cycleProbeTargets/index.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";

/** Options of `createProber`. */
interface ProberOptions {
    readonly table: PeerTable;
    readonly plan: ReturnType<typeof createProbePlan>;
    readonly probeSender: ReturnType<typeof createProbeSender>;
    readonly suspicions: ReturnType<typeof createSuspicions>;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly signal: AbortSignal;
}

/** Probes gateways at a fixed rate and handles missing answers. */
interface Prober {
    /** Runs until the signal is aborted. */
    run(): Promise<void>;
}

/**
 * Creates the prober, which in each interval probes one member of the own zone and, from a bridge, one of another zone.
 *
 * @param options Table, plan, sender of probes, suspicions, clock, randomness and signal that stops the prober.
 * @returns The prober, not yet running.
 *
 * @example
 * await prober.run();
 */
export function createProber(options: ProberOptions): Prober {
    const { table, plan, probeSender, suspicions, clock, random, signal } = options;
    const constants = membershipConstants;
    const probing = new Set<string>();

    function isLocal(record: PeerRecord): boolean {
        return record.availabilityZone === table.self().availabilityZone;
    }

    /** Probes other members of the zone. If none answers, the zone is lost and its members are not suspected singly. */
    async function isZoneLost(unanswered: PeerRecord): Promise<boolean> {
        const others = plan.membersOf(unanswered.availabilityZone).filter(member => member.name !== unanswered.name);
        const probed = random.shuffle(others).slice(0, constants.maximumZoneLossProbes);
        const answers = await Promise.all(
            probed.map(member => probeSender.probeDirectly({ target: member.name, ...addressOf(member) })),
        );
        return probed.length > 0 && !answers.includes(true);
    }

    async function handleMissingAnswer(target: PeerRecord): Promise<void> {
        if (!isLocal(target) && await isZoneLost(target)) {
            table.setZoneLost(target.availabilityZone, true);
        }
        else if (table.zone(target.availabilityZone)?.isLost !== true) {
            suspicions.suspect(target);
        }
    }

    async function probeTarget(target: PeerRecord): Promise<void> {
        if (probing.has(target.name)) {
            return;
        }
        probing.add(target.name);
        const startedAt = clock.now();
        const hasAnswered = await probeSender.probe(target, [...plan.localTargets(), ...plan.remoteTargets()]);
        // After a pause of this process a missing answer is no evidence against the target.
        const maximumMilliseconds = 3 * constants.probeTimeoutMilliseconds + constants.probeIntervalMilliseconds;
        if (hasAnswered) {
            table.setZoneLost(target.availabilityZone, false);
        }
        else if (clock.now() - startedAt <= maximumMilliseconds && !signal.aborted) {
            await handleMissingAnswer(target);
        }
        probing.delete(target.name);
    }

    async function probeDead(): Promise<void> {
        const dead = table.all().filter(record =>
            record.state === PeerState.Dead && (isLocal(record) || plan.isBridge())
        );
        const [record] = random.shuffle(dead);
        if (record !== undefined) {
            await probeSender.probeDirectly({ target: record.name, ...addressOf(record) });
        }
    }

    async function runProbeLoop(readTargets: () => readonly PeerRecord[]): Promise<void> {
        const targets = cycleProbeTargets(readTargets, random);
        while (!signal.aborted) {
            const target = targets.next().value;
            if (target !== undefined) {
                void probeTarget(target);
            }
            if (random.next() < constants.deadProbeShare) {
                void probeDead();
            }
            await clock.sleep(constants.probeIntervalMilliseconds * (0.9 + 0.2 * random.next()), signal);
        }
    }

    async function run(): Promise<void> {
        await Promise.all([runProbeLoop(plan.localTargets), runProbeLoop(plan.remoteTargets)]);
    }

    return { run };
}

function addressOf(record: PeerRecord): Pick<PeerRecord, "host" | "port" | "availabilityZone"> {
    const { host, port, availabilityZone } = record;
    return { host, port, availabilityZone };
}
