import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../../clock/types/Clock.js";

/** Options of `waitForArrivedInput`. */
interface ArrivedInputOptions {
    readonly clock: Clock;
    /** Longest turn of the event loop after which what had arrived before it counts as read. */
    readonly maximumTurnMilliseconds: number;
    /** Time at which the wait ends in any case. */
    readonly endsAt: number;
}

/**
 * Waits until the event loop has read what had arrived on open sockets.
 *
 * Timers run before the loop polls its sockets, so after a stall a timer does not see what arrived meanwhile. A turn of
 * the loop polls once, at its beginning; what arrived during a long turn may still be unread, so another one follows.
 *
 * @param options Clock, the longest turn in milliseconds, and the time at which the wait ends.
 * @returns Resolves when all that arrived longer ago than the longest turn is read, or at the end of the wait.
 *
 * @example
 * await waitForArrivedInput({ clock, maximumTurnMilliseconds: 50, endsAt });
 */
export async function waitForArrivedInput(options: ArrivedInputOptions): Promise<void> {
    const { clock, maximumTurnMilliseconds, endsAt } = options;
    // From here on a turn begins where the loop polls next, whatever called this function.
    await nextTurn();
    for (;;) {
        const startedAt = clock.now();
        await nextTurn();
        const now = clock.now();
        if (now - startedAt <= maximumTurnMilliseconds || now >= endsAt) {
            return;
        }
    }
}
