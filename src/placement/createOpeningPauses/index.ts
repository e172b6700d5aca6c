import type { Clock } from "../../clock/types/Clock.js";
import { placementConstants } from "../constants.js";
import type { ConnectionRefusal } from "../types/ConnectionRefusal.js";

/** What a pool knows of its failed attempts to open a connection. */
interface OpeningPauses {
    /** Whether no connection is opened. */
    isPaused(): boolean;
    /** Whether no connection is opened unless another one is closed for it. */
    isGrowthPaused(): boolean;
    /** Records that an attempt begins. */
    recordAttempt(): void;
    recordSuccess(): void;
    /** Records a failure other than a refusal; returns the pause until the next attempt, in milliseconds. */
    recordFailure(): number;
    /**
     * Records that the endpoint refused a connection because it held too many; returns the pause in milliseconds, which
     * is shorter for a connection in place of another one, unless such a one was refused.
     */
    recordRefusal(connectionCount: number, isReplacement: boolean, limitPauseMilliseconds: number): number;
    /** Whether the last attempt failed. */
    hasFailed(): boolean;
    /** When the first of the failures in a row was; refusals do not count. */
    failingSince(): number | undefined;
    lastRefusal(): ConnectionRefusal | undefined;
}

/**
 * Creates the pauses between attempts to open a connection to one endpoint.
 *
 * @param clock Source of time.
 * @returns The pauses; the first attempt waits for nothing.
 *
 * @example
 * const pause = pauses.recordFailure();
 */
export function createOpeningPauses(clock: Clock): OpeningPauses {
    let failureCount = 0;
    let failingSince: number | undefined;
    let refusal: ConnectionRefusal | undefined;
    let pausedUntil = -Infinity;
    let growthPausedUntil = -Infinity;

    function pause(milliseconds: number, replacementMilliseconds = milliseconds): number {
        growthPausedUntil = clock.now() + milliseconds;
        pausedUntil = clock.now() + replacementMilliseconds;
        return milliseconds;
    }

    function recordFailure(): number {
        const { initialReopenMilliseconds, maximumReopenMilliseconds } = placementConstants;
        failureCount += 1;
        failingSince ??= clock.now();
        return pause(Math.min(initialReopenMilliseconds * 2 ** (failureCount - 1), maximumReopenMilliseconds));
    }

    function recordRefusal(connectionCount: number, isReplacement: boolean, limitPauseMilliseconds: number): number {
        failureCount += 1;
        refusal = { at: clock.now(), connectionCount };
        const replacementPause = Math.min(placementConstants.replacementPauseMilliseconds, limitPauseMilliseconds);
        return pause(limitPauseMilliseconds, isReplacement ? limitPauseMilliseconds : replacementPause);
    }

    return {
        isPaused: () => clock.now() < pausedUntil,
        isGrowthPaused: () => clock.now() < growthPausedUntil,
        recordAttempt: () => {
            if (clock.now() - growthPausedUntil > placementConstants.maximumReopenMilliseconds) {
                // Nothing is known of the time since the last attempt.
                failingSince = undefined;
            }
        },
        recordSuccess: () => {
            failureCount = 0;
            failingSince = undefined;
        },
        recordFailure,
        recordRefusal,
        hasFailed: () => failureCount > 0,
        failingSince: () => failingSince,
        lastRefusal: () => refusal,
    };
}
