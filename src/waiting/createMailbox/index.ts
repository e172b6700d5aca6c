import type { Clock } from "../../clock/types/Clock.js";
import { createWaiter } from "../createWaiter/index.js";
import type { Mailbox } from "../types/Mailbox.js";
import type { Waiter } from "../types/Waiter.js";

/**
 * Creates a queue of items with a single asynchronous reader.
 *
 * @param clock Measures the timeout of a wait.
 * @returns The mailbox, open and empty.
 *
 * @example
 * for (let command = await mailbox.next(5_000); command !== undefined; command = await mailbox.next(5_000)) {
 *     await handle(command);
 * }
 */
export function createMailbox<T>(clock: Clock): Mailbox<T> {
    const items: T[] = [];
    let reader: Waiter<T | undefined> | undefined;
    let isClosed = false;

    function push(item: T): boolean {
        if (isClosed) {
            return false;
        }
        if (reader === undefined || reader.isSettled) {
            items.push(item);
        }
        else {
            reader.resolve(item);
        }
        return true;
    }

    async function next(timeoutMilliseconds: number): Promise<T | undefined> {
        if (items.length > 0 || isClosed) {
            return items.shift();
        }
        const waiter = createWaiter<T | undefined>({
            clock,
            timeoutMilliseconds,
            createTimeoutError: () => new Error("no item"),
        });
        reader = waiter;
        return await waiter.promise.catch(() => undefined);
    }

    function close(): void {
        isClosed = true;
        reader?.resolve(undefined);
    }

    return { push, next, close, drain: () => items.splice(0) };
}
