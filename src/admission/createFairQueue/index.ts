import { admissionConstants } from "../constants.js";
import type { FairQueue } from "../types/FairQueue.js";

/** The waiting items of one caller. */
interface CallerQueue<T> {
    readonly caller: string;
    readonly items: T[];
    /** Cost that the caller may still spend (the deficit counter of the algorithm). */
    deficit: number;
}

/**
 * Creates a queue that is fair between callers by deficit round robin (Shreedhar and Varghese, 1995).
 *
 * @param costOf Returns the cost of a caller's next item, from `minimumCost` to `maximumCost`; 1 is the mean.
 * @returns The queue, empty.
 *
 * @example
 * const queue = createFairQueue<QueuedRequest>(caller => serviceTimes.relativeCost(caller));
 */
export function createFairQueue<T>(costOf: (caller: string) => number): FairQueue<T> {
    const queuesByCaller = new Map<string, CallerQueue<T>>();
    const rotation: CallerQueue<T>[] = [];
    let length = 0;

    function push(caller: string, item: T): void {
        let queue = queuesByCaller.get(caller);
        if (queue === undefined) {
            queue = { caller, items: [], deficit: 0 };
            queuesByCaller.set(caller, queue);
            rotation.push(queue);
        }
        queue.items.push(item);
        length += 1;
    }

    function shift(tryServe: (item: T) => boolean = () => true): T | undefined {
        const unserved = new Set<CallerQueue<T>>();
        while (unserved.size < rotation.length) {
            const queue = rotation[0]!;
            const cost = costOf(queue.caller);
            if (!unserved.has(queue) && queue.deficit >= cost) {
                const index = queue.items.findIndex(tryServe);
                if (index >= 0) {
                    queue.deficit -= cost;
                    return removeAt(queue, index);
                }
                unserved.add(queue);
            }
            else if (!unserved.has(queue)) {
                queue.deficit += admissionConstants.quantum;
            }
            rotation.push(rotation.shift()!);
        }
        return undefined;
    }

    function list(): readonly T[] {
        const listed: T[] = [];
        let queues: readonly CallerQueue<T>[] = rotation;
        for (let round = 0; queues.length > 0; round += 1) {
            queues = queues.filter(({ items }) => items.length > round);
            listed.push(...queues.map(({ items }) => items[round]!));
        }
        return listed;
    }

    function removeAt(queue: CallerQueue<T>, index: number): T {
        const [item] = queue.items.splice(index, 1);
        length -= 1;
        if (queue.items.length === 0) {
            queuesByCaller.delete(queue.caller);
            rotation.splice(rotation.indexOf(queue), 1);
        }
        return item!;
    }

    function remove(caller: string, item: T): boolean {
        const queue = queuesByCaller.get(caller);
        const index = queue?.items.indexOf(item) ?? -1;
        if (queue === undefined || index < 0) {
            return false;
        }
        removeAt(queue, index);
        return true;
    }

    function dropFromLongest(caller: string | undefined): T | undefined {
        let longest = caller === undefined ? undefined : queuesByCaller.get(caller);
        for (const queue of rotation) {
            if (queue.items.length > (longest?.items.length ?? 0)) {
                longest = queue;
            }
        }
        return longest === undefined || longest.caller === caller
            ? undefined
            : removeAt(longest, longest.items.length - 1);
    }

    function countAhead(caller: string): number {
        const own = queuesByCaller.get(caller)?.items.length ?? 0;
        return rotation.reduce((count, queue) => count + Math.min(queue.items.length, own + 1), 0);
    }

    return {
        push,
        shift,
        list,
        remove,
        dropFromLongest,
        countAhead,
        get length() {
            return length;
        },
    };
}
