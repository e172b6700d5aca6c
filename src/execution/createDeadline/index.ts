import type { Clock } from "../../clock/types/Clock.js";
import type { Deadline } from "../types/Deadline.js";

/**
 * Creates a deadline on the monotonic clock.
 *
 * @param clock Source of time.
 * @param milliseconds Time from now.
 * @returns The deadline.
 *
 * @example
 * const deadline = createDeadline(clock, 5_000);
 */
export function createDeadline(clock: Clock, milliseconds: number): Deadline {
    const endsAt = clock.now() + milliseconds;
    const timeLeft = (): number => Math.max(0, endsAt - clock.now());
    return { timeLeft, isExpired: () => timeLeft() === 0 };
}
