import type { Clock } from "../types/Clock.js";

/**
 * Starts to measure the time since now. The monotonic clock may stop while the VM is suspended and the wall clock may be
 * set back, so the longer of the two times counts.
 *
 * @param clock Source of monotonic and wall time.
 * @returns A function that returns the time since the call, in milliseconds.
 *
 * @example
 * const elapsed = startElapsedTimer(clock);
 * await verify();
 * elapsed() > 500;
 */
export function startElapsedTimer(clock: Pick<Clock, "now" | "wallTime">): () => number {
    const startedAt = clock.now();
    const startedAtWall = clock.wallTime();
    return () => Math.max(clock.now() - startedAt, clock.wallTime() - startedAtWall);
}
