import type { Clock } from "../../clock/types/Clock.js";
import type { Waiter } from "../types/Waiter.js";

/** Options of `createWaiter`. */
interface WaiterOptions {
    readonly clock: Clock;
    readonly timeoutMilliseconds: number;
    /** Creates the error with which the promise is rejected after the timeout or when the signal is aborted. */
    readonly createTimeoutError: () => Error;
    /** Called after the timeout or the signal has rejected the promise. */
    readonly onTimeout?: () => void;
    readonly signal?: AbortSignal;
}

/**
 * Creates a promise that its creator resolves or rejects, unless a timeout or a signal rejects it first.
 *
 * @param options Clock, timeout in milliseconds, the error to reject with, and a signal that ends the wait.
 * @returns The waiter.
 *
 * @example
 * const waiter = createWaiter<AdmissionSlot>({ clock, timeoutMilliseconds: 200, createTimeoutError });
 * waiters.push(waiter);
 * const slot = await waiter.promise;
 */
export function createWaiter<T>(options: WaiterOptions): Waiter<T> {
    const { clock, signal } = options;
    let cancelTimer = (): void => {};
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
        cancelTimer();
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
        // Deferred until this function has returned, because `onTimeout` may use the returned waiter.
        queueMicrotask(expire);
    }
    else {
        cancelTimer = clock.startTimer(Math.max(options.timeoutMilliseconds, 0), expire);
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
