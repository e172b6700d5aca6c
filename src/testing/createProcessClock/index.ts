import type { Clock } from "../../clock/types/Clock.js";

/**
 * Creates the clock of a simulated process: while the process is suspended, and once it was killed, nothing that waits for
 * the clock continues.
 *
 * @param clock Source of time.
 * @param waitForProcess Resolves when the process runs; never once it was killed.
 * @returns The clock of the process.
 *
 * @example
 * const processClock = createProcessClock(clock, waitForProcess);
 */
export function createProcessClock(clock: Clock, waitForProcess: () => Promise<void>): Clock {
    return {
        now: clock.now,
        wallTime: clock.wallTime,
        sleep: async (milliseconds, signal) => {
            await clock.sleep(milliseconds, signal);
            await waitForProcess();
        },
        startTimer: (milliseconds, onElapsed) =>
            clock.startTimer(milliseconds, () => void waitForProcess().then(onElapsed)),
    };
}
