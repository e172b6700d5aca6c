/**
 * Creates a function that runs deliveries after a delay, never out of order.
 *
 * @param readDelayMilliseconds Reads the delay to apply to the next delivery.
 * @returns A function that takes a delivery.
 *
 * @example
 * const deliverLater = createDelayLine(() => 30);
 * deliverLater(() => socket.send(frame));
 */
export function createDelayLine(readDelayMilliseconds: () => number): (deliver: () => void) => void {
    let waiting = 0;
    let lastDue = 0;
    return deliver => {
        const delayMilliseconds = readDelayMilliseconds();
        if (delayMilliseconds === 0 && waiting === 0) {
            deliver();
            return;
        }
        waiting += 1;
        const now = performance.now();
        lastDue = Math.max(lastDue, now + delayMilliseconds);
        setTimeout(() => {
            waiting -= 1;
            deliver();
        }, lastDue - now);
    };
}
