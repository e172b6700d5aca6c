import type { Clock } from "../../clock/types/Clock.js";
import { routingConstants } from "../constants.js";
import { createPositionHistory } from "../createPositionHistory/index.js";
import type { EndpointObservations } from "../types/EndpointObservations.js";

/** What is known of one endpoint. */
interface Observation {
    appliedPosition: number;
    lagMilliseconds: number;
    latencyMilliseconds?: number;
    failedAt?: number;
}

/**
 * Creates an entry's memory of what answers told of endpoints: positions, lag, latency, failures.
 *
 * @param clock Source of monotonic time.
 * @returns Observations, empty at first.
 *
 * @example
 * observations.noteApplied("stock", "stock-2", 90);
 * observations.expectedWaitMilliseconds("stock", "stock-2", 95);
 */
export function createEndpointObservations(clock: Clock): EndpointObservations {
    const observations = new Map<string, Observation>();
    const histories = new Map<string, ReturnType<typeof createPositionHistory>>();

    function observationOf(endpoint: string): Observation {
        let observation = observations.get(endpoint);
        if (observation === undefined) {
            observation = { appliedPosition: 0, lagMilliseconds: 0 };
            observations.set(endpoint, observation);
        }
        return observation;
    }

    function historyOf(database: string): ReturnType<typeof createPositionHistory> {
        let history = histories.get(database);
        if (history === undefined) {
            history = createPositionHistory();
            histories.set(database, history);
        }
        return history;
    }

    function average(previous: number, sample: number): number {
        return previous + routingConstants.sampleWeight * (sample - previous);
    }

    function noteApplied(database: string, endpoint: string, position: number): void {
        const observation = observationOf(endpoint);
        const missingSince = historyOf(database).firstKnownAt(position + 1);
        const lag = missingSince === undefined ? 0 : clock.now() - missingSince;
        observation.appliedPosition = Math.max(observation.appliedPosition, position);
        observation.lagMilliseconds = average(observation.lagMilliseconds, lag);
        observation.failedAt = undefined;
    }

    function noteLatency(endpoint: string, milliseconds: number): void {
        const observation = observationOf(endpoint);
        observation.latencyMilliseconds = average(observation.latencyMilliseconds ?? milliseconds, milliseconds);
    }

    function expectedWaitMilliseconds(database: string, endpoint: string, position: number): number {
        const observation = observationOf(endpoint);
        if (observation.appliedPosition >= position) {
            return 0;
        }
        const now = clock.now();
        const knownAt = historyOf(database).firstKnownAt(position) ?? now;
        return Math.max(0, knownAt + observation.lagMilliseconds - now);
    }

    function hasFailedRecently(endpoint: string): boolean {
        const { failedAt } = observationOf(endpoint);
        return failedAt !== undefined && clock.now() - failedAt < routingConstants.failurePenaltyMilliseconds;
    }

    return {
        noteCommitted: (database, position) => historyOf(database).note(position, clock.now()),
        noteApplied,
        noteLatency,
        noteFailure: endpoint => {
            observationOf(endpoint).failedAt = clock.now();
        },
        hasApplied: (endpoint, position) => observationOf(endpoint).appliedPosition >= position,
        expectedWaitMilliseconds,
        expectedLatencyMilliseconds: endpoint => observations.get(endpoint)?.latencyMilliseconds,
        hasFailedRecently,
    };
}
