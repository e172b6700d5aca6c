/** A queue of items for one task that waits for them. */
export interface Mailbox<T> {
    /** Adds an item; false when the mailbox is closed. */
    push(item: T): boolean;
    /** Resolves with the next item, or with undefined at the time limit or when the mailbox is closed. */
    next(timeoutMilliseconds: number): Promise<T | undefined>;
    /** Closes the mailbox; what is in it can still be taken out. */
    close(): void;
    /** Takes out all items at once. */
    drain(): T[];
}
