/**
 * Keeps the event loop from running, as a garbage collection or a busy processor does.
 *
 * @param milliseconds Duration of the stall.
 *
 * @example
 * blockEventLoop(300);
 */
export function blockEventLoop(milliseconds: number): void {
    const endsAt = performance.now() + milliseconds;
    while (performance.now() < endsAt) {
        // Nothing else runs.
    }
}
