/** What a tRPC subscription reports. */
interface SubscriptionObserver<T> {
    onData(item: T): void;
    onError(error: unknown): void;
    onComplete(): void;
}

/**
 * Turns a tRPC subscription into an asynchronous generator.
 *
 * @param subscribe Starts the subscription with the observer it is given.
 * @param signal Ends the generator and the subscription.
 * @returns Yields the items in order; throws what the subscription failed with.
 *
 * @example
 * for await (const item of subscribePeer(observer => client.view.watch.subscribe(undefined, observer), signal)) { take(item); }
 */
export async function* subscribePeer<T>(
    subscribe: (observer: SubscriptionObserver<T>) => { unsubscribe(): void; },
    signal: AbortSignal,
): AsyncGenerator<T> {
    const items: T[] = [];
    let isOver = false;
    let failure: unknown;
    let wake = (): void => {};
    const end = (error?: unknown): void => {
        isOver = true;
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
            if (isOver) {
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
