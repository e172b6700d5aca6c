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

/** Options of `createProbeSender`. */
interface ProbeSenderOptions {
    readonly table: PeerTable;
    readonly queue: ReturnType<typeof createUpdateQueue>;
    readonly peers: Peers;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/** Sends probes. */
interface ProbeSender {
    /** Probes directly; returns whether the target answered in time. */
    probeDirectly(target: IndirectProbe): Promise<boolean>;
    /** Probes directly, then through some of the helpers; returns whether one of the probes was answered in time. */
    probe(target: PeerRecord, helpers: readonly PeerRecord[]): Promise<boolean>;
}

/**
 * Creates the sender of probes; probes and their answers carry membership updates.
 *
 * @param options Table, queue of updates, peers, clock and source of randomness.
 * @returns The sender.
 *
 * @example
 * if (!await probeSender.probe(record, helpers)) { suspect(record); }
 */
export function createProbeSender(options: ProbeSenderOptions): ProbeSender {
    const { table, queue, peers, clock, random } = options;
    const { probeTimeoutMilliseconds, indirectProbeCount } = membershipConstants;

    /** Returns undefined if the call fails or times out; a call that times out is aborted. */
    async function withTimeout<Answer>(
        milliseconds: number,
        run: (signal: AbortSignal) => Promise<Answer>,
    ): Promise<Answer | undefined> {
        const callController = new AbortController();
        const timerController = new AbortController();
        let hasTimedOut = false;
        const timeout = clock.sleep(milliseconds, timerController.signal).then(() => {
            hasTimedOut = true;
            return undefined;
        });
        const attempt = async (): Promise<Answer> => run(callController.signal);
        const answer = await Promise.race([attempt().catch(() => undefined), timeout]);
        // An explicit reason avoids the default exception, which costs more than the probe.
        if (hasTimedOut) {
            callController.abort("late");
        }
        timerController.abort("over");
        return answer;
    }

    async function probeDirectly(target: IndirectProbe): Promise<boolean> {
        const isSameZone = target.availabilityZone === table.self().availabilityZone;
        const updates = queue.selectForMessage(isSameZone);
        const known = table.find(target.target);
        const targetRecord = known === undefined || known.state === PeerState.Live ? [] : [known];
        const message = { target: target.target, updates: { ...updates, peers: [...updates.peers, ...targetRecord] } };
        const answeredUpdates = await withTimeout(probeTimeoutMilliseconds, async signal => {
            const client = peers.clientOf<MembershipRouter>(target);
            const answer: unknown = await client.membership.probe.mutate(message, { signal });
            return checkPeerValue(membershipSchemas.updates, answer);
        });
        if (answeredUpdates === undefined) {
            return false;
        }
        table.applyUpdates(isSameZone ? answeredUpdates : { ...answeredUpdates, zones: [] });
        return true;
    }

    async function probe(target: PeerRecord, helpers: readonly PeerRecord[]): Promise<boolean> {
        const { name, host, port, availabilityZone } = target;
        const request: IndirectProbe = { target: name, host, port, availabilityZone };
        if (await probeDirectly(request)) {
            return true;
        }
        const chosen = random.shuffle(helpers.filter(helper => helper.name !== name)).slice(0, indirectProbeCount);
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
