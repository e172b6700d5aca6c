import type { Clock } from "../../clock/types/Clock.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { placementConstants } from "../constants.js";
import type { OpeningPace } from "../types/OpeningPace.js";

/** Options of `createOpeningPace`. */
interface OpeningPaceOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** When this process started, on its clock. */
    readonly startedAt: number;
    /** Whether this VM is meant to hold connections to the endpoint. */
    readonly isHolding: () => boolean;
}

/**
 * Creates the decision when a VM opens a connection to one endpoint.
 *
 * After a loss of VMs, an endpoint counts their connections for seconds more, and few places are left for all VMs that
 * return. A VM is therefore sparing when the endpoint's limit was reached a short time ago, when all VMs seem to have
 * started together, and when other VMs are meant to hold the connections and may need them all: it has one connection at most, and closes it as
 * soon as no statement needs it, so that the places go round. After a refusal it tries again after a random pause that
 * doubles.
 *
 * @param options Clock, randomness, start of the process, and whether this VM is meant to hold connections.
 * @returns The decision, without a failure.
 *
 * @example
 * if (pace.mayOpen(openCount, openingCount)) { await open(); }
 */
export function createOpeningPace(options: OpeningPaceOptions): OpeningPace {
    const { clock, random, startedAt, isHolding } = options;
    const {
        initialReopenMilliseconds,
        maximumReopenMilliseconds,
        initialLimitPauseMilliseconds,
        connectionLimitPauseMilliseconds,
        limitRefusalsUntilLasting,
        darkConnectionMilliseconds,
        returnNoticeMilliseconds,
        concurrentOpenings,
    } = placementConstants;
    let failureCount = 0;
    let limitRefusalCount = 0;
    let limitReachedAt = -Infinity;
    let pausedUntil = -Infinity;

    /** Whether the endpoint has refused a connection for so short a time that it may still count those of lost VMs. */
    function isScarce(): boolean {
        return clock.now() - limitReachedAt < darkConnectionMilliseconds;
    }

    let isReturnSeen = false;

    clock.startTimer(Math.max(startedAt + returnNoticeMilliseconds - clock.now(), 0), () => {
        isReturnSeen = !isHolding();
    });

    /** Whether all VMs seem to have started together with this one: none told it the others in good time. */
    function isReturning(): boolean {
        return isReturnSeen && clock.now() - startedAt < darkConnectionMilliseconds;
    }

    /** Whether other VMs are meant to hold the connections, and this one does not stand alone. */
    function isGuest(): boolean {
        const wasLimitReached = limitReachedAt > -Infinity;
        return !isHolding() && (wasLimitReached || clock.now() - startedAt < returnNoticeMilliseconds);
    }

    function isSparing(): boolean {
        return isScarce() || isReturning() || isGuest();
    }

    function mayOpen(openCount: number, openingCount: number): boolean {
        return clock.now() >= pausedUntil
            && openingCount < concurrentOpenings
            && (!isSparing() || openCount + openingCount === 0);
    }

    function recordOpened(): void {
        failureCount = 0;
        limitRefusalCount = 0;
    }

    function recordFailure(kind: ErrorKind): number {
        failureCount += 1;
        const isLimit = kind === ErrorKind.ConnectionLimitReached;
        limitRefusalCount = isLimit ? limitRefusalCount + 1 : 0;
        limitReachedAt = isLimit ? clock.now() : limitReachedAt;
        const pause = isLimit
            ? computeLimitPause()
            : Math.min(initialReopenMilliseconds * 2 ** (failureCount - 1), maximumReopenMilliseconds);
        pausedUntil = clock.now() + pause;
        return pause;
    }

    /** A pause between half and one and a half of a bound that doubles, so that VMs that start together spread. */
    function computeLimitPause(): number {
        const bound = initialLimitPauseMilliseconds * 2 ** (limitRefusalCount - 1);
        return Math.min(bound, connectionLimitPauseMilliseconds) * (0.5 + random.next());
    }

    return {
        isSparing,
        mayOpen,
        recordOpened,
        recordFailure,
        pausedUntil: () => pausedUntil,
        failureCount: () => failureCount,
        isLimitLasting: () => limitRefusalCount >= limitRefusalsUntilLasting,
    };
}
