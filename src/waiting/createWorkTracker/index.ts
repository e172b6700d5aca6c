import type { WorkTracker } from "../types/WorkTracker.js";

/**
 * Creates a tracker of work in flight.
 *
 * @returns The tracker, without work.
 *
 * @example
 * const reply = await work.track(`request ${request.requestId}`, () => execute(request));
 */
export function createWorkTracker(): WorkTracker {
    const descriptions = new Map<symbol, string>();
    const idleListeners: (() => void)[] = [];

    async function track<T>(description: string, work: () => Promise<T>): Promise<T> {
        const key = Symbol();
        descriptions.set(key, description);
        try {
            return await work();
        }
        finally {
            descriptions.delete(key);
            if (descriptions.size === 0) {
                idleListeners.splice(0).forEach(listener => listener());
            }
        }
    }

    async function whenIdle(): Promise<void> {
        while (descriptions.size > 0) {
            await new Promise<void>(resolve => idleListeners.push(resolve));
        }
        // Tasks that are ready now still pass the last results on; connections may be closed only after that.
        await new Promise(resolve => setImmediate(resolve));
    }

    return { track, describe: () => [...descriptions.values()], whenIdle };
}
