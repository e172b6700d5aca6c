import type { Clock } from "../../clock/types/Clock.js";

/** A token bucket of bytes. */
interface ByteBudget {
    /** Takes that many bytes if they are there; returns whether they were. */
    take(bytes: number): boolean;
}

/** Options of `createByteBudget`. */
interface ByteBudgetOptions {
    readonly bytesPerSecond: number;
    readonly burstBytes: number;
}

/**
 * Creates a budget of bytes that refills with time.
 *
 * @param clock Source of time.
 * @param options Rate in bytes a second and the most that may be saved up, in bytes.
 * @returns The budget, full.
 *
 * @example
 * if (budget.take(encodedBytes)) { send(); }
 */
export function createByteBudget(clock: Clock, options: ByteBudgetOptions): ByteBudget {
    let available = options.burstBytes;
    let refilledAt = clock.now();

    function take(bytes: number): boolean {
        const now = clock.now();
        const refill = (now - refilledAt) / 1_000 * options.bytesPerSecond;
        available = Math.min(options.burstBytes, available + refill);
        refilledAt = now;
        if (available < bytes) {
            return false;
        }
        available -= bytes;
        return true;
    }

    return { take };
}
