import type { Clock } from "../../clock/types/Clock.js";
import { checkPeerValue } from "../../dissemination/checkPeerValue/index.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { Peers } from "../../transport/types/Peers.js";
import { membershipConstants } from "../constants.js";
import type { createUpdateQueue } from "../createUpdateQueue/index.js";
import { membershipSchemas } from "../membershipSchemas.js";
import type { IndirectProbe } from "../types/IndirectProbe.js";
import type { MembershipRouter } from "../types/MembershipRouter.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";

/** What the caller works with. */
interface ProbeCallerOptions {
    readonly table: PeerTable;
    readonly queue: ReturnType<typeof createUpdateQueue>;
    readonly peers: Peers;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/** Sends probes. */
interface ProbeCaller {
    /** Probes directly; resolves with whether the target answered in time. */
    probeDirectly(target: IndirectProbe): Promise<boolean>;
    /** Probes directly, then through some of the helpers. */
    probe(target: PeerRecord, helpers: readonly PeerRecord[]): Promise<boolean>;
}

/**
 * Creates the sender of probes; updates ride on them and on their answers.
 *
 * @param options Table, queue of updates, peers, clock and randomness.
 * @returns The sender.
 *
 * @example
 * if (!await caller.probe(record, helpers)) { suspect(record); }
 */
export function createProbeCaller(options: ProbeCallerOptions): ProbeCaller {
    const { table, queue, peers, clock, random } = options;
    const { probeTimeoutMilliseconds, indirectProbes } = membershipConstants;

    /** Resolves with undefined when the call fails or is late; a late call is abandoned. */
    async function withTimeout<Answer>(
        milliseconds: number,
        run: (signal: AbortSignal) => Promise<Answer>,
    ): Promise<Answer | undefined> {
        const call = new AbortController();
        const timer = new AbortController();
        let isLate = false;
        const late = clock.sleep(milliseconds, timer.signal).then(() => {
            isLate = true;
            return undefined;
        });
        const attempt = async (): Promise<Answer> => run(call.signal);
        const answer = await Promise.race([attempt().catch(() => undefined), late]);
        // Reasons are given because making the usual ones costs more than the probe.
        if (isLate) {
            call.abort("late");
        }
        timer.abort("over");
        return answer;
    }

    async function probeDirectly(target: IndirectProbe): Promise<boolean> {
        const isSameZone = target.availabilityZone === table.self().availabilityZone;
        const updates = queue.take(isSameZone);
        const known = table.find(target.target);
        const told = known === undefined || known.state === PeerState.Live ? [] : [known];
        const message = { target: target.target, updates: { ...updates, peers: [...updates.peers, ...told] } };
        const answered = await withTimeout(probeTimeoutMilliseconds, async signal => {
            const client = peers.clientOf<MembershipRouter>(target);
            const answer: unknown = await client.membership.probe.mutate(message, { signal });
            return checkPeerValue(membershipSchemas.updates, answer);
        });
        if (answered === undefined) {
            return false;
        }
        table.learn(isSameZone ? answered : { ...answered, zones: [] });
        return true;
    }

    async function probe(target: PeerRecord, helpers: readonly PeerRecord[]): Promise<boolean> {
        const { name, host, port, availabilityZone } = target;
        const request: IndirectProbe = { target: name, host, port, availabilityZone };
        if (await probeDirectly(request)) {
            return true;
        }
        const chosen = random.shuffle(helpers.filter(helper => helper.name !== name)).slice(0, indirectProbes);
        const answers = await Promise.all(chosen.map(helper =>
            withTimeout(
                2 * probeTimeoutMilliseconds,
                signal => peers.clientOf<MembershipRouter>(helper).membership.probeFor.query(request, { signal }),
            )
        ));
        return answers.includes(true);
    }

    return { probeDirectly, probe };
}
