import type { Clock } from "../../clock/types/Clock.js";

/**
 * Creates the clock of a simulated process: once the process was killed, nothing that waits for the clock continues.
 *
 * @param clock Source of time.
 * @param isRunning Whether the process runs.
 * @returns The clock of the process.
 *
 * @example
 * const processClock = createProcessClock(clock, () => isRunning);
 */
export function createProcessClock(clock: Clock, isRunning: () => boolean): Clock {
    return {
        now: clock.now,
        wallTime: clock.wallTime,
        sleep: async (milliseconds, signal) => {
            await clock.sleep(milliseconds, signal);
            if (!isRunning()) {
                await new Promise<never>(() => {});
            }
        },
        startTimer: (milliseconds, onElapsed) =>
            clock.startTimer(milliseconds, () => {
                if (isRunning()) {
                    onElapsed();
                }
            }),
    };
}
