import type { Clock } from "../../clock/types/Clock.js";
import { placementConstants } from "../constants.js";
import type { ConnectionRefusal } from "../types/ConnectionRefusal.js";

/** What a pool knows of its failed attempts to open a connection. */
interface OpeningPauses {
    isPaused(): boolean;
    /** Records that an attempt begins. */
    recordAttempt(): void;
    recordSuccess(): void;
    /** Records a failure other than a refusal; returns the pause until the next attempt, in milliseconds. */
    recordFailure(): number;
    /**
     * Records that the endpoint refused a connection because it held too many; returns the pause in milliseconds, which
     * is short when closing an idle connection makes room, and otherwise the given one.
     */
    recordRefusal(connectionCount: number, isReplacing: () => boolean, limitPauseMilliseconds: number): number;
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

    function pause(milliseconds: number): number {
        pausedUntil = clock.now() + milliseconds;
        return milliseconds;
    }

    function recordFailure(): number {
        const { initialReopenMilliseconds, maximumReopenMilliseconds } = placementConstants;
        failureCount += 1;
        failingSince ??= clock.now();
        return pause(Math.min(initialReopenMilliseconds * 2 ** (failureCount - 1), maximumReopenMilliseconds));
    }

    function recordRefusal(
        connectionCount: number,
        isReplacing: () => boolean,
        limitPauseMilliseconds: number,
    ): number {
        failureCount += 1;
        refusal = { at: clock.now(), connectionCount };
        return pause(isReplacing() ? placementConstants.replacementPauseMilliseconds : limitPauseMilliseconds);
    }

    return {
        isPaused: () => clock.now() < pausedUntil,
        recordAttempt: () => {
            if (clock.now() - pausedUntil > placementConstants.maximumReopenMilliseconds) {
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
