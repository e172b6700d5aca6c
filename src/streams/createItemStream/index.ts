/** Options of `createItemStream`. */
interface ItemStreamOptions {
    /** Whether a new item replaces an item that has not been read yet. */
    readonly keepsOnlyLatest?: boolean;
}

/** Passes items from callbacks to a single reader. */
interface ItemStream<Item> {
    put(item: Item): void;
    /** Fails the reader with the error, after it has read the items put before. */
    fail(error: Error): void;
    /** Yields the items until the signal is aborted. */
    items(signal: AbortSignal): AsyncGenerator<Item>;
}

/**
 * Creates a stream of items: callbacks put items in, and a single reader reads them through an async generator.
 *
 * @param options Whether to keep all items or only the latest.
 * @returns The empty stream.
 *
 * @example
 * const stream = createItemStream<EndpointStatus>({ keepsOnlyLatest: true });
 * for await (const status of stream.items(signal)) { applyStatus(status); }
 */
export function createItemStream<Item>(options: ItemStreamOptions = {}): ItemStream<Item> {
    const unreadItems: Item[] = [];
    let failure: Error | undefined;
    let wake = (): void => {};

    function put(item: Item): void {
        if (options.keepsOnlyLatest === true) {
            unreadItems.length = 0;
        }
        unreadItems.push(item);
        wake();
    }

    function fail(error: Error): void {
        failure ??= error;
        wake();
    }

    async function* items(signal: AbortSignal): AsyncGenerator<Item> {
        const onAbort = (): void => wake();
        signal.addEventListener("abort", onAbort);
        try {
            while (!signal.aborted) {
                if (unreadItems.length > 0) {
                    yield unreadItems.shift() as Item;
                }
                else if (failure !== undefined) {
                    throw failure;
                }
                else {
                    await new Promise<void>(resolve => {
                        wake = resolve;
                    });
                }
            }
        }
        finally {
            signal.removeEventListener("abort", onAbort);
        }
    }

    return { put, fail, items };
}
