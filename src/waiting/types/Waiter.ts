/** A promise with its resolve and reject functions and a timeout. */
export interface Waiter<T> {
    readonly promise: Promise<T>;
    /** True once the promise was resolved, or rejected by `reject`, the timeout or the signal. */
    readonly isSettled: boolean;
    /** Resolves the promise; has no effect if it is settled. */
    resolve(value: T): void;
    /** Rejects the promise; has no effect if it is settled. */
    reject(error: Error): void;
}
