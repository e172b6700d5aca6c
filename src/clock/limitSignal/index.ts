import type { Clock } from "../types/Clock.js";
import { waitIsOver } from "../waitIsOver.js";

/** A signal with a time limit. */
interface LimitedSignal {
    readonly signal: AbortSignal;
    /** Ends the time limit; to be called when the work is over. */
    release(): void;
}

/**
 * Creates a signal that is aborted with another one, or after a time limit.
 *
 * `AbortSignal.any` does not serve here: Node.js 20 may collect a timeout that only a combined signal refers to.
 *
 * @param parent The signal to follow.
 * @param clock Source of time.
 * @param milliseconds The time limit; none when left out.
 * @returns The signal, and the function that ends the limit.
 *
 * @example
 * const { signal, release } = limitSignal(stopSignal, clock, 3_000);
 */
export function limitSignal(parent: AbortSignal, clock: Clock, milliseconds?: number): LimitedSignal {
    const limit = new AbortController();
    const wait = new AbortController();
    const end = (): void => {
        wait.abort(waitIsOver);
        limit.abort();
    };
    if (parent.aborted) {
        end();
    }
    parent.addEventListener("abort", end);

    async function endLater(delay: number): Promise<void> {
        await clock.sleep(delay, wait.signal);
        if (!wait.signal.aborted) {
            end();
        }
    }

    if (milliseconds !== undefined) {
        void endLater(milliseconds);
    }
    return {
        signal: limit.signal,
        release: () => {
            wait.abort(waitIsOver);
            parent.removeEventListener("abort", end);
        },
    };
}
