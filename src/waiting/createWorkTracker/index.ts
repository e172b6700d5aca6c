import type { WorkTracker } from "../types/WorkTracker.js";

/**
 * Creates a tracker of work under way.
 *
 * @returns The tracker, idle.
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

    function whenIdle(): Promise<void> {
        return descriptions.size === 0 ? Promise.resolve() : new Promise(resolve => idleListeners.push(resolve));
    }

    return { track, describe: () => [...descriptions.values()], whenIdle };
}
