import type { Clock } from "../../clock/types/Clock.js";

/** Options of `waitForCondition`. */
interface WaitForConditionOptions {
    readonly clock: Clock;
    /** Time after which it is given up. */
    readonly limitMilliseconds: number;
    /** Pause between two looks. */
    readonly checkMilliseconds: number;
}

/**
 * Waits until a condition holds, for something that tells nobody when it changes.
 *
 * @param isTrue The condition; looked at at once and then again and again.
 * @param options Clock, time limit and pause in milliseconds.
 * @returns Whether it holds; no look is begun after the limit.
 *
 * @example
 * const isKnown = await waitForCondition(() => directory.version() > 0, { clock, limitMilliseconds, checkMilliseconds });
 */
export async function waitForCondition(
    isTrue: () => boolean | Promise<boolean>,
    options: WaitForConditionOptions,
): Promise<boolean> {
    const { clock, limitMilliseconds, checkMilliseconds } = options;
    const until = clock.now() + limitMilliseconds;
    while (!await isTrue()) {
        const leftMilliseconds = until - clock.now();
        if (leftMilliseconds <= 0) {
            return false;
        }
        await clock.sleep(Math.min(checkMilliseconds, leftMilliseconds));
    }
    return true;
}
