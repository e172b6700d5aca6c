/**
 * Creates a function that runs deliveries after a delay, in the order in which they were passed.
 *
 * @param readDelayMilliseconds Reads the delay to apply to the next delivery.
 * @returns A function that schedules a delivery; without a delay and pending deliveries it runs the delivery at once.
 *
 * @example
 * const deliverLater = createDelayLine(() => 30);
 * deliverLater(() => socket.send(frame));
 */
export function createDelayLine(readDelayMilliseconds: () => number): (deliver: () => void) => void {
    let pendingCount = 0;
    let lastDueAt = 0;
    return deliver => {
        const delayMilliseconds = readDelayMilliseconds();
        if (delayMilliseconds === 0 && pendingCount === 0) {
            deliver();
            return;
        }
        pendingCount += 1;
        const now = performance.now();
        lastDueAt = Math.max(lastDueAt, now + delayMilliseconds);
        setTimeout(() => {
            pendingCount -= 1;
            deliver();
        }, lastDueAt - now);
    };
}
