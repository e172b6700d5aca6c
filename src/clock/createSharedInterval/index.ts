/**
 * Creates an interval that many listeners share: one timer wakes the process for all of them.
 *
 * @param milliseconds Time between two calls of a listener; the first call may come sooner.
 * @returns Adds a listener, and returns the function that removes it. The timer runs only while there are listeners.
 *
 * @example
 * const addListener = createSharedInterval(250);
 * const removeListener = addListener(checkSilence);
 */
export function createSharedInterval(milliseconds: number): (listener: () => void) => () => void {
    const listeners = new Set<() => void>();
    let timer: NodeJS.Timeout | undefined;

    function remove(listener: () => void): void {
        listeners.delete(listener);
        if (listeners.size === 0) {
            clearInterval(timer);
            timer = undefined;
        }
    }

    return listener => {
        listeners.add(listener);
        timer ??= setInterval(() => listeners.forEach(call => call()), milliseconds);
        return () => remove(listener);
    };
}
