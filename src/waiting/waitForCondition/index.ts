import type { Clock } from "../../clock/types/Clock.js";

/** Options of `waitForCondition`. */
interface WaitForConditionOptions {
    readonly clock: Clock;
    /** Timeout of the wait. */
    readonly timeoutMilliseconds: number;
    /** Pause between two checks of the condition. */
    readonly pollingMilliseconds: number;
}

/**
 * Waits until a condition holds by polling, for state without a change notification.
 *
 * @param isTrue The condition; checked at once and then after each pause.
 * @param options Clock, timeout and polling interval in milliseconds.
 * @returns True once the condition holds, false after the timeout.
 *
 * @example
 * const isKnown = await waitForCondition(() => directory.routingVersion() > 0, options);
 */
export async function waitForCondition(
    isTrue: () => boolean | Promise<boolean>,
    options: WaitForConditionOptions,
): Promise<boolean> {
    const { clock, timeoutMilliseconds, pollingMilliseconds } = options;
    const deadlineAt = clock.now() + timeoutMilliseconds;
    while (!await isTrue()) {
        const leftMilliseconds = deadlineAt - clock.now();
        if (leftMilliseconds <= 0) {
            return false;
        }
        await clock.sleep(Math.min(pollingMilliseconds, leftMilliseconds));
    }
    return true;
}
