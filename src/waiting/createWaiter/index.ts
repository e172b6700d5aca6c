import type { Clock } from "../../clock/types/Clock.js";
import { waitIsOver } from "../../clock/waitIsOver.js";
import type { Waiter } from "../types/Waiter.js";

/** Options of `createWaiter`. */
interface WaiterOptions {
    readonly clock: Clock;
    readonly timeoutMilliseconds: number;
    /** Makes the error with which the promise is rejected at the time limit or when the signal is aborted. */
    readonly createTimeoutError: () => Error;
    /** Called when the promise was rejected by the time limit or the signal. */
    readonly onTimeout?: () => void;
    readonly signal?: AbortSignal;
}

/**
 * Creates a promise that is resolved from outside, or rejected at a time limit or by a signal, whichever is first.
 *
 * @param options Clock, time limit in milliseconds, the error to reject with, and a signal that ends the wait.
 * @returns The waiter.
 *
 * @example
 * const waiter = createWaiter<ConnectionLease>({ clock, timeoutMilliseconds: 200, createTimeoutError });
 * waiters.push(waiter);
 * const lease = await waiter.promise;
 */
export function createWaiter<T>(options: WaiterOptions): Waiter<T> {
    const { clock, signal } = options;
    const timer = new AbortController();
    let isSettled = false;
    let resolvePromise!: (value: T) => void;
    let rejectPromise!: (error: Error) => void;
    const promise = new Promise<T>((resolve, reject) => {
        resolvePromise = resolve;
        rejectPromise = reject;
    });

    function settle(finish: () => void): boolean {
        if (isSettled) {
            return false;
        }
        isSettled = true;
        signal?.removeEventListener("abort", expire);
        timer.abort(waitIsOver);
        finish();
        return true;
    }

    function expire(): void {
        if (settle(() => rejectPromise(options.createTimeoutError()))) {
            options.onTimeout?.();
        }
    }

    signal?.addEventListener("abort", expire);
    if (signal?.aborted === true) {
        // The creator holds the waiter only after this function has returned.
        queueMicrotask(expire);
    }
    else {
        void clock.sleep(Math.max(options.timeoutMilliseconds, 0), timer.signal).then(expire);
    }
    return {
        promise,
        get isSettled() {
            return isSettled;
        },
        resolve: value => void settle(() => resolvePromise(value)),
        reject: error => void settle(() => rejectPromise(error)),
    };
}
