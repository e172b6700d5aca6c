import { routingConstants } from "../constants.js";
import { estimateLatency } from "../estimateLatency/index.js";
import type { ReadCandidate } from "../types/ReadCandidate.js";
import { ReadPolicy } from "../types/ReadPolicy.js";
import type { ReadRoutingContext } from "../types/ReadRoutingContext.js";

/** A replica with its expected latency and wait. */
interface ReplicaEstimate {
    readonly endpoint: string;
    readonly latencyMilliseconds: number;
    readonly expectedWaitMilliseconds: number;
}

type ReplicaChooser = (context: ReadRoutingContext, replicas: readonly ReplicaEstimate[]) => Iterable<ReadCandidate>;

const replicaChoosers: Readonly<Record<ReadPolicy, ReplicaChooser>> = {
    [ReadPolicy.PrimaryOnly]: () => [],
    [ReadPolicy.ReplicaIfCaughtUp]: chooseCaughtUp,
    [ReadPolicy.BoundedWait]: chooseNearest,
    [ReadPolicy.BoundedWaitWithPrediction]: choosePredicted,
};

/**
 * Lists the endpoints for a read, best first: replicas, then the primary, then replicas that failed recently.
 *
 * @param policy How replicas are chosen.
 * @param context Inputs to the choice of the endpoint.
 * @returns Yields candidates; the consumer stops at the first that answers.
 *
 * @example
 * for (const candidate of listReadCandidates(ReadPolicy.BoundedWaitWithPrediction, context)) { ... }
 */
export function* listReadCandidates(policy: ReadPolicy, context: ReadRoutingContext): Generator<ReadCandidate> {
    const replicas = Object.keys(context.definition.endpoints)
        .filter(endpoint => endpoint !== context.primary && !context.isLeaving(endpoint))
        .map(endpoint => estimateReplica(context, endpoint))
        .sort((left, right) => left.latencyMilliseconds - right.latencyMilliseconds);
    const usable = replicas.filter(replica => !context.observations.hasFailedRecently(replica.endpoint));
    yield* replicaChoosers[policy](context, usable);
    yield { endpoint: context.primary, isPrimary: true, waitMilliseconds: 0 };
    yield* replicaChoosers[policy](context, replicas.filter(replica => !usable.includes(replica)));
}

function estimateReplica(context: ReadRoutingContext, endpoint: string): ReplicaEstimate {
    return {
        endpoint,
        latencyMilliseconds: estimateLatency(context, endpoint),
        expectedWaitMilliseconds: context.observations.expectedWaitMilliseconds(
            context.database,
            endpoint,
            context.leastPosition,
        ),
    };
}

function* chooseCaughtUp(context: ReadRoutingContext, replicas: readonly ReplicaEstimate[]): Generator<ReadCandidate> {
    for (const { endpoint } of replicas) {
        if (context.observations.hasApplied(endpoint, context.leastPosition)) {
            yield { endpoint, isPrimary: false, waitMilliseconds: 0 };
        }
    }
}

function* chooseNearest(context: ReadRoutingContext, replicas: readonly ReplicaEstimate[]): Generator<ReadCandidate> {
    for (const { endpoint } of replicas) {
        yield { endpoint, isPrimary: false, waitMilliseconds: context.waitBudgetMilliseconds };
    }
}

function* choosePredicted(context: ReadRoutingContext, replicas: readonly ReplicaEstimate[]): Generator<ReadCandidate> {
    const expected = (replica: ReplicaEstimate) => replica.latencyMilliseconds + replica.expectedWaitMilliseconds;
    const inTime = replicas
        .filter(replica => replica.expectedWaitMilliseconds <= context.waitBudgetMilliseconds)
        .sort((left, right) => expected(left) - expected(right));
    for (const { endpoint, expectedWaitMilliseconds } of inTime) {
        const waitMilliseconds = Math.min(
            context.waitBudgetMilliseconds,
            expectedWaitMilliseconds + routingConstants.waitMarginMilliseconds,
        );
        yield { endpoint, isPrimary: false, waitMilliseconds };
    }
}
