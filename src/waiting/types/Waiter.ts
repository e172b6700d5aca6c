/** A promise with its resolvers and a time limit. */
export interface Waiter<T> {
    readonly promise: Promise<T>;
    /** True once it was resolved, rejected, timed out or cancelled. */
    readonly isSettled: boolean;
    /** Settles the promise; without effect when it is settled already. */
    resolve(value: T): void;
    reject(error: Error): void;
}
