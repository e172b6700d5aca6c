import { routingConstants } from "../constants.js";
import { estimateLatency } from "../estimateLatency/index.js";
import type { ReadCandidate } from "../types/ReadCandidate.js";
import { ReadPolicy } from "../types/ReadPolicy.js";
import type { ReadRoute } from "../types/ReadRoute.js";

/** A replica with what is expected of it. */
interface RatedReplica {
    readonly endpoint: string;
    readonly latencyMilliseconds: number;
    readonly expectedWaitMilliseconds: number;
}

type ReplicaChooser = (route: ReadRoute, replicas: readonly RatedReplica[]) => Iterable<ReadCandidate>;

const replicaChoosers: Readonly<Record<ReadPolicy, ReplicaChooser>> = {
    [ReadPolicy.PrimaryOnly]: () => [],
    [ReadPolicy.ReplicaIfCaughtUp]: chooseCaughtUp,
    [ReadPolicy.BoundedWait]: chooseNearest,
    [ReadPolicy.BoundedWaitWithPrediction]: choosePredicted,
};

/**
 * Lists the endpoints that a read may be sent to, best first; the primary comes last.
 *
 * @param policy How replicas are chosen.
 * @param route What the choice depends on.
 * @returns Yields candidates; the consumer stops at the first that answers.
 *
 * @example
 * for (const candidate of listReadCandidates(ReadPolicy.BoundedWaitWithPrediction, route)) { ... }
 */
export function* listReadCandidates(policy: ReadPolicy, route: ReadRoute): Generator<ReadCandidate> {
    const replicas = Object.keys(route.definition.endpoints)
        .filter(endpoint => endpoint !== route.primary && !route.isLeaving(endpoint))
        .map(endpoint => rate(route, endpoint))
        .sort((left, right) => left.latencyMilliseconds - right.latencyMilliseconds);
    const usable = replicas.filter(replica => !route.observations.hasFailedRecently(replica.endpoint));
    yield* replicaChoosers[policy](route, usable);
    yield { endpoint: route.primary, isPrimary: true, waitMilliseconds: 0 };
    yield* replicaChoosers[policy](route, replicas.filter(replica => !usable.includes(replica)));
}

function rate(route: ReadRoute, endpoint: string): RatedReplica {
    return {
        endpoint,
        latencyMilliseconds: estimateLatency(route, endpoint),
        expectedWaitMilliseconds: route.observations.expectedWaitMilliseconds(
            route.database,
            endpoint,
            route.leastPosition,
        ),
    };
}

function* chooseCaughtUp(route: ReadRoute, replicas: readonly RatedReplica[]): Generator<ReadCandidate> {
    for (const { endpoint } of replicas) {
        if (route.observations.hasApplied(endpoint, route.leastPosition)) {
            yield { endpoint, isPrimary: false, waitMilliseconds: 0 };
        }
    }
}

function* chooseNearest(route: ReadRoute, replicas: readonly RatedReplica[]): Generator<ReadCandidate> {
    for (const { endpoint } of replicas) {
        yield { endpoint, isPrimary: false, waitMilliseconds: route.waitBudgetMilliseconds };
    }
}

function* choosePredicted(route: ReadRoute, replicas: readonly RatedReplica[]): Generator<ReadCandidate> {
    const expected = (replica: RatedReplica) => replica.latencyMilliseconds + replica.expectedWaitMilliseconds;
    const inTime = replicas
        .filter(replica => replica.expectedWaitMilliseconds <= route.waitBudgetMilliseconds)
        .sort((left, right) => expected(left) - expected(right));
    for (const { endpoint, expectedWaitMilliseconds } of inTime) {
        const waitMilliseconds = Math.min(
            route.waitBudgetMilliseconds,
            expectedWaitMilliseconds + routingConstants.waitMarginMilliseconds,
        );
        yield { endpoint, isPrimary: false, waitMilliseconds };
    }
}
