import type { Clock } from "../../clock/types/Clock.js";
import { routingConstants } from "../constants.js";
import { createPositionHistory } from "../createPositionHistory/index.js";
import type { EndpointObservations } from "../types/EndpointObservations.js";

/** Observations of one endpoint. */
interface Observation {
    appliedPosition: number;
    lagMilliseconds: number;
    latencyMilliseconds?: number;
    failedAt?: number;
}

/**
 * Creates an entry's record of the positions, lag, latency and failures observed in endpoints' replies.
 *
 * @param clock Source of monotonic time.
 * @returns The observations, initially empty.
 *
 * @example
 * observations.recordApplied("stock", "stock-2", 90);
 * observations.expectedWaitMilliseconds("stock", "stock-2", 95);
 */
export function createEndpointObservations(clock: Clock): EndpointObservations {
    const observations = new Map<string, Observation>();
    const histories = new Map<string, ReturnType<typeof createPositionHistory>>();

    function findOrCreateObservation(endpoint: string): Observation {
        let observation = observations.get(endpoint);
        if (observation === undefined) {
            observation = { appliedPosition: 0, lagMilliseconds: 0 };
            observations.set(endpoint, observation);
        }
        return observation;
    }

    function findOrCreateHistory(database: string): ReturnType<typeof createPositionHistory> {
        let history = histories.get(database);
        if (history === undefined) {
            history = createPositionHistory();
            histories.set(database, history);
        }
        return history;
    }

    function updateAverage(previous: number, sample: number): number {
        return previous + routingConstants.sampleWeight * (sample - previous);
    }

    function recordApplied(database: string, endpoint: string, position: number): void {
        const observation = findOrCreateObservation(endpoint);
        const newerKnownAt = findOrCreateHistory(database).firstRecordedAt(position + 1);
        const lag = newerKnownAt === undefined ? 0 : clock.now() - newerKnownAt;
        observation.appliedPosition = Math.max(observation.appliedPosition, position);
        observation.lagMilliseconds = updateAverage(observation.lagMilliseconds, lag);
        observation.failedAt = undefined;
    }

    function recordLatency(endpoint: string, milliseconds: number): void {
        const observation = findOrCreateObservation(endpoint);
        observation.latencyMilliseconds = updateAverage(observation.latencyMilliseconds ?? milliseconds, milliseconds);
    }

    function expectedWaitMilliseconds(database: string, endpoint: string, position: number): number {
        const observation = findOrCreateObservation(endpoint);
        if (observation.appliedPosition >= position) {
            return 0;
        }
        const now = clock.now();
        const knownAt = findOrCreateHistory(database).firstRecordedAt(position) ?? now;
        return Math.max(0, knownAt + observation.lagMilliseconds - now);
    }

    function hasFailedRecently(endpoint: string): boolean {
        const { failedAt } = findOrCreateObservation(endpoint);
        return failedAt !== undefined && clock.now() - failedAt < routingConstants.failurePenaltyMilliseconds;
    }

    return {
        recordCommitted: (database, position) => findOrCreateHistory(database).record(position, clock.now()),
        recordApplied,
        recordLatency,
        recordFailure: endpoint => {
            findOrCreateObservation(endpoint).failedAt = clock.now();
        },
        hasApplied: (endpoint, position) => findOrCreateObservation(endpoint).appliedPosition >= position,
        expectedWaitMilliseconds,
        averageLatencyMilliseconds: endpoint => observations.get(endpoint)?.latencyMilliseconds,
        hasFailedRecently,
    };
}
