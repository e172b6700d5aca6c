import type { Clock } from "../types/Clock.js";

/** An abort signal with a time limit. */
interface LimitedSignal {
    readonly signal: AbortSignal;
    /** Cancels the time limit and stops following the parent; to be called when the work has ended. */
    release(): void;
}

/**
 * Creates an abort signal that is aborted together with another one, or after a time limit.
 *
 * `AbortSignal.any` cannot be used: Node.js 20 may garbage-collect a timeout that only a combined signal refers to.
 *
 * @param parent The signal to follow.
 * @param clock Source of time.
 * @param milliseconds The time limit; none when left out.
 * @returns The signal, and the function that releases it.
 *
 * @example
 * const { signal, release } = createTimeLimitedSignal(stopSignal, clock, 3_000);
 */
export function createTimeLimitedSignal(parent: AbortSignal, clock: Clock, milliseconds?: number): LimitedSignal {
    const limitController = new AbortController();
    let cancelTimer = (): void => {};
    const abortSignal = (): void => {
        cancelTimer();
        limitController.abort();
    };
    if (parent.aborted) {
        abortSignal();
    }
    parent.addEventListener("abort", abortSignal);

    if (milliseconds !== undefined && !parent.aborted) {
        cancelTimer = clock.startTimer(milliseconds, abortSignal);
    }
    return {
        signal: limitController.signal,
        release: () => {
            cancelTimer();
            parent.removeEventListener("abort", abortSignal);
        },
    };
}
