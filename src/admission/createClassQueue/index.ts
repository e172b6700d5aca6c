import { admissionConstants } from "../constants.js";
import { createFairQueue } from "../createFairQueue/index.js";
import type { ClassQueue } from "../types/ClassQueue.js";
import type { FairQueue } from "../types/FairQueue.js";

/** Options of `createClassQueue`. */
interface ClassQueueOptions<T> {
    /** Class of an item; lower is more urgent. Negative classes are the program's own and owe others no share. */
    readonly priorityOf: (item: T) => number;
    readonly callerOf: (item: T) => string;
    /** Whether an item that is served now would still end in time; read at each decision. */
    readonly isTimely: (item: T) => boolean;
    /** Cost of a caller's next item, relative to the mean. */
    readonly costOf: (caller: string) => number;
    /** Whether less urgent classes have turns before more urgent ones; left out means that they have. */
    readonly hasTurns?: () => boolean;
}

/** The items of one priority. */
interface PriorityClass<T> {
    readonly priority: number;
    readonly queue: FairQueue<T>;
    /** Turns of more urgent classes while this class waited, since its own last one. */
    turnsWaited: number;
}

/**
 * Creates a queue with classes by priority.
 *
 * The most urgent class is served first, but each less urgent class that waits has one turn after every
 * `turnsPerLowerClassTurn` of theirs.
 * Within a class, items that can still end in time go first, and callers share the turns fairly by cost.
 *
 * @param options Class, caller, timeliness and cost of items.
 * @returns The queue, empty.
 *
 * @example
 * const queue = createClassQueue<WaitingRequest>({ priorityOf, callerOf, isTimely, costOf });
 * const next = queue.shift(({ request }) => tryAcquire(request));
 */
export function createClassQueue<T>(options: ClassQueueOptions<T>): ClassQueue<T> {
    const { priorityOf, callerOf, isTimely, costOf, hasTurns = () => true } = options;
    /** Sorted, the most urgent first. */
    const classes: PriorityClass<T>[] = [];

    function classOf(item: T): PriorityClass<T> {
        const priority = priorityOf(item);
        const existing = classes.find(candidate => candidate.priority === priority);
        if (existing !== undefined) {
            return existing;
        }
        const created = { priority, queue: createFairQueue<T>(costOf), turnsWaited: 0 };
        classes.push(created);
        classes.sort((left, right) => left.priority - right.priority);
        return created;
    }

    function push(item: T): void {
        classOf(item).queue.push(callerOf(item), item);
    }

    function shift(tryServe: (item: T) => boolean): T | undefined {
        for (const candidate of listInOrder()) {
            const item = candidate.queue.shift(waiting => isTimely(waiting) && tryServe(waiting))
                ?? candidate.queue.shift(tryServe);
            if (item !== undefined) {
                recordTurn(candidate);
                removeEmpty();
                return item;
            }
        }
        return undefined;
    }

    /** The program's own classes, then classes that are owed a turn, then by priority. */
    function listInOrder(): readonly PriorityClass<T>[] {
        const isFirst = ({ priority, turnsWaited }: PriorityClass<T>): boolean =>
            priority < 0 || hasTurns() && turnsWaited >= admissionConstants.turnsPerLowerClassTurn;
        return [...classes.filter(isFirst), ...classes.filter(candidate => !isFirst(candidate))];
    }

    function recordTurn(served: PriorityClass<T>): void {
        served.turnsWaited = 0;
        if (served.priority < 0) {
            return;
        }
        for (const lower of classes.filter(({ priority }) => priority > served.priority)) {
            lower.turnsWaited += 1;
        }
    }

    function removeEmpty(): void {
        const waiting = classes.filter(({ queue }) => queue.length > 0);
        classes.splice(0, classes.length, ...waiting);
    }

    function remove(item: T): boolean {
        const wasRemoved = classOf(item).queue.remove(callerOf(item), item);
        removeEmpty();
        return wasRemoved;
    }

    function dropFor(item: T): T | undefined {
        const priority = priorityOf(item);
        for (const candidate of classes.filter(other => other.priority >= priority).reverse()) {
            const caller = candidate.priority === priority ? callerOf(item) : undefined;
            const dropped = candidate.queue.dropFromLongest(caller);
            if (dropped !== undefined) {
                removeEmpty();
                return dropped;
            }
        }
        return undefined;
    }

    function list(): readonly T[] {
        return classes.flatMap(({ queue }) => {
            const items = queue.list();
            return [...items.filter(isTimely), ...items.filter(item => !isTimely(item))];
        });
    }

    return {
        push,
        shift,
        remove,
        dropFor,
        list,
        lengths: () => new Map(classes.map(({ priority, queue }) => [priority, queue.length])),
        get length() {
            return classes.reduce((sum, { queue }) => sum + queue.length, 0);
        },
    };
}
