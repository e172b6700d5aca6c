import { on } from "node:events";
import { EventEmitter } from "node:events";

/** Receives what a tRPC subscription sends. */
interface SubscriptionObserver<Item> {
    onData(item: Item): void;
    onError(error: unknown): void;
    onComplete(): void;
}

/**
 * Turns a tRPC subscription into an asynchronous generator.
 *
 * @param subscribe Starts the subscription with the observer that it is given.
 * @param signal Ends the iteration and the subscription.
 * @returns The items; ends when the subscription completes, throws its error.
 *
 * @example
 * for await (const event of iterateSubscription(observer => client.events.follow.subscribe(input, observer), signal)) {
 *     print(event);
 * }
 */
export async function* iterateSubscription<Item>(
    subscribe: (observer: SubscriptionObserver<Item>) => { unsubscribe(): void; },
    signal: AbortSignal,
): AsyncGenerator<Item> {
    const emitter = new EventEmitter();
    const items = on(emitter, "item", { signal, close: ["complete"] });
    const subscription = subscribe({
        onData: item => void emitter.emit("item", item),
        onError: error => void emitter.emit("error", error),
        onComplete: () => void emitter.emit("complete"),
    });
    try {
        for await (const [item] of items) {
            yield item as Item;
        }
    }
    finally {
        subscription.unsubscribe();
    }
}
