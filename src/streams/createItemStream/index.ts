/** Options of `createItemStream`. */
interface ItemStreamOptions {
    /** An item that was not taken yet is replaced by the next one. */
    readonly keepsOnlyLatest?: boolean;
}

/** Passes items from callbacks to one reader. */
interface ItemStream<Item> {
    put(item: Item): void;
    /** Ends the reader with the error once it has taken what was put before. */
    fail(error: Error): void;
    /** Yields the items until the signal is aborted. */
    items(signal: AbortSignal): AsyncGenerator<Item>;
}

/**
 * Creates a stream of items: callbacks put them in, one reader takes them out as an async generator.
 *
 * @param options Whether to keep all items or only the latest.
 * @returns The stream, empty.
 *
 * @example
 * const stream = createItemStream<EndpointStatus>({ keepsOnlyLatest: true });
 * for await (const status of stream.items(signal)) { learn(status); }
 */
export function createItemStream<Item>(options: ItemStreamOptions = {}): ItemStream<Item> {
    const waiting: Item[] = [];
    let failure: Error | undefined;
    let wake = (): void => {};

    function put(item: Item): void {
        if (options.keepsOnlyLatest === true) {
            waiting.length = 0;
        }
        waiting.push(item);
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
                if (waiting.length > 0) {
                    yield waiting.shift() as Item;
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
