import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { admissionConstants } from "../constants.js";
import type { LinkBudget } from "../types/LinkBudget.js";
import { LinkPriority } from "../types/LinkPriority.js";

/** Options of `createLinkBudget`. */
interface LinkBudgetOptions {
    readonly clock: Clock;
    /** Name of the link, for messages. */
    readonly link: string;
    /** Bytes a second that this process may send; read at each decision. */
    readonly bytesPerSecond: () => number;
}

/** Bytes that wait to be sent. */
interface WaitingBytes {
    readonly bytes: number;
    readonly waiter: Waiter<void>;
}

/**
 * Creates the byte budget of one link between regions: a token bucket with an order of urgency.
 *
 * Control is sent at once and charged, so that it is never held up by data; then come writes, then reads.
 *
 * @param options Clock, link and the rate in bytes a second.
 * @returns The budget, with a full bucket.
 *
 * @example
 * await linkBudget.take(LinkPriority.Read, expectedBytes, deadline.timeLeft());
 */
export function createLinkBudget(options: LinkBudgetOptions): LinkBudget {
    const { clock, link } = options;
    const queues: Record<Exclude<LinkPriority, LinkPriority.Control>, WaitingBytes[]> = {
        [LinkPriority.Write]: [],
        [LinkPriority.Read]: [],
    };
    const order = [queues[LinkPriority.Write], queues[LinkPriority.Read]];
    let balance = burst();
    let filledAt = clock.now();
    let isServing = false;

    function burst(): number {
        return options.bytesPerSecond() * admissionConstants.linkBurstMilliseconds / 1_000;
    }

    function fill(): void {
        const now = clock.now();
        balance = Math.min(balance + (now - filledAt) * options.bytesPerSecond() / 1_000, burst());
        filledAt = now;
    }

    function take(priority: LinkPriority, bytes: number, timeLeftMilliseconds: number): Promise<void> {
        fill();
        if (priority === LinkPriority.Control || (balance > 0 && bytesBefore(priority) === 0)) {
            balance -= bytes;
            return Promise.resolve();
        }
        const delay = (bytesBefore(priority) - balance) * 1_000 / options.bytesPerSecond();
        if (delay > timeLeftMilliseconds) {
            return Promise.reject(createOverload());
        }
        const queue = queues[priority];
        const waiting: WaitingBytes = {
            bytes,
            waiter: createWaiter<void>({
                clock,
                timeoutMilliseconds: timeLeftMilliseconds,
                createTimeoutError: createOverload,
                onTimeout: () => queue.splice(queue.indexOf(waiting), 1),
            }),
        };
        queue.push(waiting);
        void serve();
        return waiting.waiter.promise;
    }

    async function serve(): Promise<void> {
        if (isServing) {
            return;
        }
        isServing = true;
        for (let queue = nextQueue(); queue !== undefined; queue = nextQueue()) {
            fill();
            if (balance > 0) {
                const { bytes, waiter } = queue.shift()!;
                balance -= bytes;
                waiter.resolve();
            }
            else {
                await clock.sleep(Math.max(1, -balance * 1_000 / options.bytesPerSecond()));
            }
        }
        isServing = false;
    }

    function nextQueue(): WaitingBytes[] | undefined {
        return order.find(queue => queue.length > 0);
    }

    function bytesBefore(priority: LinkPriority): number {
        const before = priority === LinkPriority.Write ? [queues[LinkPriority.Write]] : order;
        return before.flat().reduce((sum, { bytes }) => sum + bytes, 0);
    }

    function createOverload(): Error {
        return createError(ErrorKind.Overloaded, `The byte budget of the link ${link} is used up.`, {
            remedy: "Read from a replica in the same region, or raise `limits.regionLinkBytesPerSecond`.",
        });
    }

    return {
        take,
        adjust: bytes => {
            balance -= bytes;
        },
        waitingBytes: () => bytesBefore(LinkPriority.Read),
    };
}
