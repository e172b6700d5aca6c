/** A queue of items with a single asynchronous reader. */
export interface Mailbox<T> {
    /** Adds an item; returns false if the mailbox is closed. */
    push(item: T): boolean;
    /** Resolves with the next item, or with undefined after the timeout or when the mailbox is closed and empty. */
    next(timeoutMilliseconds: number): Promise<T | undefined>;
    /** Closes the mailbox; items in it can still be read. */
    close(): void;
    /** Removes and returns all items. */
    drain(): T[];
}
