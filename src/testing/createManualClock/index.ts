import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../../clock/types/Clock.js";

/** A clock that stands still until the test moves it. */
interface ManualClock extends Clock {
    /** Moves the time forward and wakes sleepers in the order of their times. */
    advance(milliseconds: number): Promise<void>;
}

/** One sleep that is not over. */
interface Sleeper {
    readonly wakesAt: number;
    readonly wake: () => void;
}

const turnsPerStep = 4;

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

    /** Lets everything run that was woken, until it sleeps again. */
    async function settle(): Promise<void> {
        for (let turn = 0; turn < turnsPerStep; turn += 1) {
            await nextTurn();
        }
    }

    async function advance(milliseconds: number): Promise<void> {
        const end = time + milliseconds;
        await settle();
        for (;;) {
            const due = [...sleepers].filter(sleeper => sleeper.wakesAt <= end);
            if (due.length === 0) {
                break;
            }
            time = Math.max(time, Math.min(...due.map(sleeper => sleeper.wakesAt)));
            for (const sleeper of due.filter(candidate => candidate.wakesAt <= time)) {
                sleeper.wake();
            }
            await settle();
        }
        time = end;
    }

    return { now: () => time, wallTime: () => time, sleep, advance };
}
