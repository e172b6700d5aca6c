/** A queue that takes turns between callers. */
export interface FairQueue<T> {
    push(caller: string, item: T): void;
    /** Takes the item whose turn it is. */
    shift(): T | undefined;
    /** Takes out one item; returns whether it was there. */
    remove(caller: string, item: T): boolean;
    /** Takes out the newest item of the caller with the most items, unless `caller` itself has as many. */
    dropFromLongest(caller: string): T | undefined;
    /** Items that would be taken before a new item of the caller. */
    countBefore(caller: string): number;
    readonly length: number;
}
