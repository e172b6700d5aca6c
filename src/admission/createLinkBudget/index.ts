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
    /** Name of the link, for error messages. */
    readonly link: string;
    /** Bytes per second that this process may send; read at each decision. */
    readonly bytesPerSecond: () => number;
}

/** Bytes that wait to be sent. */
interface WaitingBytes {
    readonly bytes: number;
    readonly waiter: Waiter<void>;
}

/**
 * Creates the byte budget of one link between regions: a token bucket with priorities.
 *
 * Control messages are sent at once and charged to the budget, so that data never delays them. Writes go before reads.
 *
 * @param options Clock, name of the link and rate in bytes per second.
 * @returns The budget, with a full bucket.
 *
 * @example
 * await linkBudget.reserve(LinkPriority.Read, expectedBytes, deadline.timeLeft());
 */
export function createLinkBudget(options: LinkBudgetOptions): LinkBudget {
    const { clock, link } = options;
    const queues: Record<Exclude<LinkPriority, LinkPriority.Control>, WaitingBytes[]> = {
        [LinkPriority.Write]: [],
        [LinkPriority.Read]: [],
    };
    const queuesByPriority = [queues[LinkPriority.Write], queues[LinkPriority.Read]];
    let balance = computeMaximumBalance();
    let refilledAt = clock.now();
    let isSending = false;

    function computeMaximumBalance(): number {
        return options.bytesPerSecond() * admissionConstants.linkBurstMilliseconds / 1_000;
    }

    function refill(): void {
        const now = clock.now();
        balance = Math.min(balance + (now - refilledAt) * options.bytesPerSecond() / 1_000, computeMaximumBalance());
        refilledAt = now;
    }

    function reserve(priority: LinkPriority, bytes: number, timeLeftMilliseconds: number): Promise<void> {
        refill();
        if (priority === LinkPriority.Control || (balance > 0 && countBytesAhead(priority) === 0)) {
            balance -= bytes;
            return Promise.resolve();
        }
        const expectedWaitMilliseconds = (countBytesAhead(priority) - balance) * 1_000 / options.bytesPerSecond();
        if (expectedWaitMilliseconds > timeLeftMilliseconds) {
            return Promise.reject(createOverloadedError());
        }
        const queue = queues[priority];
        const waiting: WaitingBytes = {
            bytes,
            waiter: createWaiter<void>({
                clock,
                timeoutMilliseconds: timeLeftMilliseconds,
                createTimeoutError: createOverloadedError,
                onTimeout: () => queue.splice(queue.indexOf(waiting), 1),
            }),
        };
        queue.push(waiting);
        void runSendLoop();
        return waiting.waiter.promise;
    }

    async function runSendLoop(): Promise<void> {
        if (isSending) {
            return;
        }
        isSending = true;
        for (let queue = findNextQueue(); queue !== undefined; queue = findNextQueue()) {
            refill();
            if (balance > 0) {
                const { bytes, waiter } = queue.shift()!;
                balance -= bytes;
                waiter.resolve();
            }
            else {
                await clock.sleep(Math.max(1, -balance * 1_000 / options.bytesPerSecond()));
            }
        }
        isSending = false;
    }

    function findNextQueue(): WaitingBytes[] | undefined {
        return queuesByPriority.find(queue => queue.length > 0);
    }

    function countBytesAhead(priority: LinkPriority): number {
        const ahead = priority === LinkPriority.Write ? [queues[LinkPriority.Write]] : queuesByPriority;
        return ahead.flat().reduce((sum, { bytes }) => sum + bytes, 0);
    }

    function createOverloadedError(): Error {
        return createError(ErrorKind.Overloaded, `The byte budget of the link ${link} is exhausted.`, {
            remedy: "Read from a replica in the same region, or raise `limits.regionLinkBytesPerSecond`.",
        });
    }

    return {
        reserve,
        adjust: bytes => {
            balance -= bytes;
        },
        countWaitingBytes: () => countBytesAhead(LinkPriority.Read),
    };
}
