import type { Clock } from "../../clock/types/Clock.js";

/** A token bucket of bytes. */
interface ByteBudget {
    /** Consumes the bytes if the budget has that many; returns whether it had. */
    tryConsume(bytes: number): boolean;
}

/** Options of `createByteBudget`. */
interface ByteBudgetOptions {
    readonly bytesPerSecond: number;
    readonly burstBytes: number;
}

/**
 * Creates a byte budget that refills at a constant rate.
 *
 * @param clock Source of time.
 * @param options Rate in bytes per second, and capacity in bytes.
 * @returns The full budget.
 *
 * @example
 * if (budget.tryConsume(encodedBytes)) { send(); }
 */
export function createByteBudget(clock: Clock, options: ByteBudgetOptions): ByteBudget {
    let available = options.burstBytes;
    let refilledAt = clock.now();

    function tryConsume(bytes: number): boolean {
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

    return { tryConsume };
}
