import type { Clock } from "../types/Clock.js";

/**
 * Creates the system clock.
 *
 * @returns A clock whose monotonic time is that of `performance.now`.
 *
 * @example
 * await createSystemClock().sleep(10);
 */
export function createSystemClock(): Clock {
    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted === true) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, milliseconds);
            signal?.addEventListener("abort", finish);
        });
    }

    function startTimer(milliseconds: number, onElapsed: () => void): () => void {
        const timer = setTimeout(onElapsed, milliseconds);
        return () => clearTimeout(timer);
    }

    return { now: () => performance.now(), wallTime: () => Date.now(), sleep, startTimer };
}
