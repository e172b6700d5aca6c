/** Callbacks of a tRPC subscription. */
interface SubscriptionObserver<T> {
    onData(item: T): void;
    onError(error: unknown): void;
    onComplete(): void;
}

/**
 * Converts a tRPC subscription to an asynchronous generator.
 *
 * @param subscribe Starts the subscription with the given observer.
 * @param signal Ends the generator and the subscription.
 * @returns A generator that yields the items in order and throws the error with which the subscription failed.
 *
 * @example
 * for await (const item of iterateSubscription(observer => client.view.watch.subscribe(undefined, observer), signal)) { applyView(item); }
 */
export async function* iterateSubscription<T>(
    subscribe: (observer: SubscriptionObserver<T>) => { unsubscribe(): void; },
    signal: AbortSignal,
): AsyncGenerator<T> {
    const items: T[] = [];
    let hasEnded = false;
    let failure: unknown;
    let wake = (): void => {};
    const end = (error?: unknown): void => {
        hasEnded = true;
        failure = error;
        wake();
    };
    const onAbort = (): void => end();
    signal.addEventListener("abort", onAbort);
    const subscription = subscribe({
        onData: item => {
            items.push(item);
            wake();
        },
        onError: end,
        onComplete: () => end(),
    });
    try {
        while (!signal.aborted) {
            const woken = new Promise<void>(resolve => {
                wake = resolve;
            });
            for (let item = items.shift(); item !== undefined; item = items.shift()) {
                yield item;
            }
            if (hasEnded) {
                break;
            }
            await woken;
        }
    }
    finally {
        signal.removeEventListener("abort", onAbort);
        subscription.unsubscribe();
    }
    if (failure !== undefined) {
        throw failure;
    }
}
