/** A queue that is fair between callers. */
export interface FairQueue<T> {
    push(caller: string, item: T): void;
    /**
     * Removes and returns the next item; with `tryServe`, the next one for which it returns true. Only the item that is
     * returned is charged to its caller. `tryServe` must not change the queue.
     */
    shift(tryServe?: (item: T) => boolean): T | undefined;
    /** The items in the order of service, as if all had the same cost. */
    list(): readonly T[];
    /** Removes one item; returns whether it was in the queue. */
    remove(caller: string, item: T): boolean;
    /** Removes and returns the newest item of the caller with the most items, unless `caller` itself has as many. */
    dropFromLongest(caller: string | undefined): T | undefined;
    /** Number of items that would be served before a new item of the caller. */
    countAhead(caller: string): number;
    readonly length: number;
}
