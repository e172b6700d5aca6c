import type { EndpointCounters } from "../types/EndpointCounters.js";

/** A limited number of slots, handed out in order of arrival. */
interface Slots {
    /** Resolves when a slot is free; the returned function gives it back. */
    acquire(): Promise<() => void>;
}

/**
 * Creates the slots in which an endpoint's statements run.
 *
 * @param limit Number of slots.
 * @param counters Where use is counted.
 * @returns The slots.
 *
 * @example
 * const release = await slots.acquire();
 */
export function createSlots(limit: number, counters: EndpointCounters): Slots {
    const waiting: (() => void)[] = [];

    function release(): void {
        const next = waiting.shift();
        if (next !== undefined) {
            next();
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
            await new Promise<void>(resolve => waiting.push(resolve));
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
