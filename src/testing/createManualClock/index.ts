import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../../clock/types/Clock.js";

/** A clock whose time only the test advances. */
interface ManualClock extends Clock {
    /** Advances the time and wakes sleepers in the order of their wake-up times. */
    advance(milliseconds: number): Promise<void>;
    /** Advances the wall time alone, as while the VM is suspended. */
    suspend(milliseconds: number): void;
}

/** One sleep that has not ended. */
interface Sleeper {
    readonly wakesAt: number;
    readonly wake: () => void;
}

const turnsPerWakeUp = 4;

/**
 * Creates a clock for tests; the time is 0.
 *
 * @returns The clock.
 *
 * @example
 * const sleeping = clock.sleep(100);
 * await clock.advance(100);
 * await sleeping;
 */
export function createManualClock(): ManualClock {
    const sleepers = new Set<Sleeper>();
    let time = 0;
    let suspendedMilliseconds = 0;

    function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted === true) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const sleeper: Sleeper = {
                wakesAt: time + milliseconds,
                wake: () => {
                    sleepers.delete(sleeper);
                    signal?.removeEventListener("abort", sleeper.wake);
                    resolve();
                },
            };
            sleepers.add(sleeper);
            signal?.addEventListener("abort", sleeper.wake);
        });
    }

    function startTimer(milliseconds: number, onElapsed: () => void): () => void {
        const sleeper: Sleeper = {
            wakesAt: time + milliseconds,
            wake: () => {
                sleepers.delete(sleeper);
                onElapsed();
            },
        };
        sleepers.add(sleeper);
        return () => void sleepers.delete(sleeper);
    }

    /** Yields to the event loop so that tasks which were woken run until they sleep again. */
    async function runWokenTasks(): Promise<void> {
        for (let turn = 0; turn < turnsPerWakeUp; turn += 1) {
            await nextTurn();
        }
    }

    async function advance(milliseconds: number): Promise<void> {
        const endsAt = time + milliseconds;
        await runWokenTasks();
        for (;;) {
            const due = [...sleepers].filter(sleeper => sleeper.wakesAt <= endsAt);
            if (due.length === 0) {
                break;
            }
            time = Math.max(time, Math.min(...due.map(sleeper => sleeper.wakesAt)));
            for (const sleeper of due.filter(candidate => candidate.wakesAt <= time)) {
                sleeper.wake();
            }
            await runWokenTasks();
        }
        time = endsAt;
    }

    function suspend(milliseconds: number): void {
        suspendedMilliseconds += milliseconds;
    }

    return { now: () => time, wallTime: () => time + suspendedMilliseconds, sleep, startTimer, advance, suspend };
}
