/** A queue with classes by priority, fair between callers within each class. */
export interface ClassQueue<T> {
    push(item: T): void;
    /** Removes and returns the next item for which `tryServe` returns true; it must not change the queue. */
    shift(tryServe: (item: T) => boolean): T | undefined;
    /** Removes one item; returns whether it was in the queue. */
    remove(item: T): boolean;
    /**
     * Removes and returns the item whose place goes to another one: of a less urgent class, or of the caller with the
     * most items in the same class. Undefined when the other item has no better right to a place.
     */
    dropFor(item: T): T | undefined;
    /** The items in the order of service. */
    list(): readonly T[];
    /** Number of items by priority. */
    lengths(): ReadonlyMap<number, number>;
    readonly length: number;
}
