import type { EndpointCounters } from "../types/EndpointCounters.js";

/** A limited number of slots, granted in order of arrival. */
interface Slots {
    /** Resolves once a slot is acquired, with a function that releases it. */
    acquire(): Promise<() => void>;
}

/**
 * Creates the slots in which an endpoint's statements run.
 *
 * @param limit Number of slots.
 * @param counters Counters of the slots in use.
 * @returns The slots.
 *
 * @example
 * const release = await slots.acquire();
 */
export function createSlots(limit: number, counters: EndpointCounters): Slots {
    const waiters: (() => void)[] = [];

    function release(): void {
        const resolveNext = waiters.shift();
        if (resolveNext !== undefined) {
            resolveNext();
            return;
        }
        counters.slotsInUse -= 1;
    }

    async function acquire(): Promise<() => void> {
        if (counters.slotsInUse < limit) {
            counters.slotsInUse += 1;
            counters.mostSlotsInUse = Math.max(counters.mostSlotsInUse, counters.slotsInUse);
        }
        else {
            await new Promise<void>(resolve => waiters.push(resolve));
        }
        let isReleased = false;
        return () => {
            if (!isReleased) {
                isReleased = true;
                release();
            }
        };
    }

    return { acquire };
}
