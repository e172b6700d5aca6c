import type { Clock } from "../../clock/types/Clock.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { membershipConstants } from "../constants.js";
import type { createProbeCaller } from "../createProbeCaller/index.js";
import type { createProbePlan } from "../createProbePlan/index.js";
import type { createSuspicions } from "../createSuspicions/index.js";
import { cycleSubjects } from "../cycleSubjects/index.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";

/** What the prober works with. */
interface ProberOptions {
    readonly table: PeerTable;
    readonly plan: ReturnType<typeof createProbePlan>;
    readonly caller: ReturnType<typeof createProbeCaller>;
    readonly suspicions: ReturnType<typeof createSuspicions>;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly signal: AbortSignal;
}

/** Probes at a fixed rate and judges who does not answer. */
interface Prober {
    /** Runs until the signal is aborted. */
    run(): Promise<void>;
}

/**
 * Creates the prober: one member of the own zone each interval, and for a bridge one of another zone besides.
 *
 * @param options Table, plan, caller, suspicions, clock, randomness and the signal that ends it.
 * @returns The prober, not yet running.
 *
 * @example
 * await prober.run();
 */
export function createProber(options: ProberOptions): Prober {
    const { table, plan, caller, suspicions, clock, random, signal } = options;
    const constants = membershipConstants;
    const probing = new Set<string>();

    function isLocal(record: PeerRecord): boolean {
        return record.availabilityZone === table.self().availabilityZone;
    }

    /** A zone counts as lost when none of several members answers; they are then not suspected one by one. */
    async function isZoneLost(silent: PeerRecord): Promise<boolean> {
        const others = plan.membersOf(silent.availabilityZone).filter(member => member.name !== silent.name);
        const asked = random.shuffle(others).slice(0, constants.zoneLossProbes);
        const answers = await Promise.all(
            asked.map(member => caller.probeDirectly({ target: member.name, ...addressOf(member) })),
        );
        return asked.length > 0 && !answers.includes(true);
    }

    async function judgeSilent(subject: PeerRecord): Promise<void> {
        if (!isLocal(subject) && await isZoneLost(subject)) {
            table.markZone(subject.availabilityZone, true);
        }
        else if (table.zone(subject.availabilityZone)?.isLost !== true) {
            suspicions.suspect(subject);
        }
    }

    async function probeAndJudge(subject: PeerRecord): Promise<void> {
        if (probing.has(subject.name)) {
            return;
        }
        probing.add(subject.name);
        const startedAt = clock.now();
        const hasAnswered = await caller.probe(subject, [...plan.localSubjects(), ...plan.remoteSubjects()]);
        // When this process was itself paused, the silence says nothing about the subject.
        const longest = 3 * constants.probeTimeoutMilliseconds + constants.probeIntervalMilliseconds;
        if (hasAnswered) {
            table.markZone(subject.availabilityZone, false);
        }
        else if (clock.now() - startedAt <= longest && !signal.aborted) {
            await judgeSilent(subject);
        }
        probing.delete(subject.name);
    }

    async function probeDead(): Promise<void> {
        const dead = table.all().filter(record =>
            record.state === PeerState.Dead && (isLocal(record) || plan.isBridge())
        );
        const [record] = random.shuffle(dead);
        if (record !== undefined) {
            await caller.probeDirectly({ target: record.name, ...addressOf(record) });
        }
    }

    async function probeRepeatedly(readSubjects: () => readonly PeerRecord[]): Promise<void> {
        const subjects = cycleSubjects(readSubjects, random);
        while (!signal.aborted) {
            const subject = subjects.next().value;
            if (subject !== undefined) {
                void probeAndJudge(subject);
            }
            if (random.next() < constants.deadProbeShare) {
                void probeDead();
            }
            await clock.sleep(constants.probeIntervalMilliseconds * (0.9 + 0.2 * random.next()), signal);
        }
    }

    async function run(): Promise<void> {
        await Promise.all([probeRepeatedly(plan.localSubjects), probeRepeatedly(plan.remoteSubjects)]);
    }

    return { run };
}

function addressOf(record: PeerRecord): Pick<PeerRecord, "host" | "port" | "availabilityZone"> {
    const { host, port, availabilityZone } = record;
    return { host, port, availabilityZone };
}
