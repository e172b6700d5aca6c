import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { admissionConstants } from "../constants.js";
import { createFairQueue } from "../createFairQueue/index.js";
import { createServiceTimes } from "../createServiceTimes/index.js";
import { AdmissionClass } from "../types/AdmissionClass.js";
import type { AdmissionQueue } from "../types/AdmissionQueue.js";
import type { AdmissionRequest } from "../types/AdmissionRequest.js";
import type { AdmissionSlot } from "../types/AdmissionSlot.js";

/** Options of `createAdmissionQueue`. */
interface AdmissionQueueOptions {
    readonly clock: Clock;
    /** Name of the endpoint, for error messages. */
    readonly endpoint: string;
    /** Maximum number of slots in use; read at each decision. */
    readonly slots: () => number;
    /** Maximum number of waiting requests; read at each decision. */
    readonly queueLength: () => number;
    /** False grants every request a slot at once. */
    readonly isLimiting: boolean;
}

/** A request in the queue. */
interface QueuedRequest {
    readonly request: AdmissionRequest;
    readonly expiresAt: number;
    readonly waiter: Waiter<AdmissionSlot>;
}

/**
 * Creates the slots of one endpoint with a bounded queue that is fair between callers.
 *
 * If there are several slots, transactions leave one to single statements. Bounded-staleness reads are served when
 * nothing else waits. A request whose expected wait exceeds a share of its time left is refused at once: if waits could
 * last up to the deadline, every statement would run just before its deadline, and slight jitter would make it miss it.
 *
 * @param options Clock, endpoint, limits and whether they are enforced.
 * @returns The queue, empty.
 *
 * @example
 * const slot = await queue.enter({ caller, admissionClass: AdmissionClass.Statement, timeLeftMilliseconds: 200 });
 * try { await run(); }
 * finally { slot.release(); }
 */
export function createAdmissionQueue(options: AdmissionQueueOptions): AdmissionQueue {
    const { clock, endpoint } = options;
    const serviceTimes = createServiceTimes();
    const sessionQueue = createFairQueue<QueuedRequest>(serviceTimes.relativeCost);
    const boundedStalenessQueue = createFairQueue<QueuedRequest>(serviceTimes.relativeCost);
    const queues = {
        [AdmissionClass.Statement]: sessionQueue,
        [AdmissionClass.Transaction]: sessionQueue,
        [AdmissionClass.BoundedStalenessRead]: boundedStalenessQueue,
    };
    /** Transactions that were next in the queue while no slot was available to transactions. */
    const deferred: QueuedRequest[] = [];
    let running = 0;
    let runningTransactions = 0;

    function acquire(request: AdmissionRequest): Promise<AdmissionSlot> {
        if (!options.isLimiting || (hasSlotFor(request) && countWaiting() === 0)) {
            return Promise.resolve(grant(request));
        }
        const expectedWaitMilliseconds = estimateWaitMilliseconds(request);
        if (expectedWaitMilliseconds > admissionConstants.maximumWaitShare * request.timeLeftMilliseconds) {
            return Promise.reject(
                createOverloadedError(`The expected wait of ${Math.ceil(expectedWaitMilliseconds)} ms is too long.`),
            );
        }
        if (countWaiting() >= options.queueLength() && !dropForFairness(request)) {
            return Promise.reject(createOverloadedError(`The queue is full with ${countWaiting()} requests.`));
        }
        const queued = createQueuedRequest(request);
        queues[request.admissionClass].push(request.caller, queued);
        // The number of slots may have increased since the last decision.
        dispatch();
        return queued.waiter.promise;
    }

    function createQueuedRequest(request: AdmissionRequest): QueuedRequest {
        const queued: QueuedRequest = {
            request,
            expiresAt: clock.now() + request.timeLeftMilliseconds,
            waiter: createWaiter<AdmissionSlot>({
                clock,
                timeoutMilliseconds: request.timeLeftMilliseconds,
                signal: request.signal,
                onTimeout: () => removeQueued(queued),
                createTimeoutError: () =>
                    createError(
                        ErrorKind.DeadlineExceeded,
                        `No slot of ${endpoint} became available before the deadline.`,
                        {
                            remedy: "Send the request again with a later deadline.",
                        },
                    ),
            }),
        };
        return queued;
    }

    function removeQueued(queued: QueuedRequest): void {
        if (!queues[queued.request.admissionClass].remove(queued.request.caller, queued)) {
            const index = deferred.indexOf(queued);
            if (index >= 0) {
                deferred.splice(index, 1);
            }
        }
    }

    function hasSlotFor(request: AdmissionRequest): boolean {
        const isClassAllowed = request.admissionClass !== AdmissionClass.Transaction
            || runningTransactions < Math.max(options.slots() - 1, 1);
        return running < options.slots() && isClassAllowed;
    }

    function estimateWaitMilliseconds(request: AdmissionRequest): number {
        const ahead = queues[request.admissionClass].countAhead(request.caller)
            + (request.admissionClass === AdmissionClass.BoundedStalenessRead ? sessionQueue.length : 0);
        return serviceTimes.mean() * (ahead + 1) / Math.max(options.slots() - runningTransactions, 1);
    }

    function dropForFairness(request: AdmissionRequest): boolean {
        const dropped = request.admissionClass === AdmissionClass.BoundedStalenessRead
            ? boundedStalenessQueue.dropFromLongest(request.caller)
            : boundedStalenessQueue.dropFromLongest("") ?? sessionQueue.dropFromLongest(request.caller);
        dropped?.waiter.reject(createOverloadedError("The queue is full and other callers have fewer requests in it."));
        return dropped !== undefined;
    }

    function grant(request: AdmissionRequest): AdmissionSlot {
        const startedAt = clock.now();
        const isTransaction = request.admissionClass === AdmissionClass.Transaction;
        let isHeld = true;
        running += 1;
        runningTransactions += isTransaction ? 1 : 0;

        function release(): void {
            if (!isHeld) {
                return;
            }
            isHeld = false;
            running -= 1;
            runningTransactions -= isTransaction ? 1 : 0;
            if (!isTransaction) {
                serviceTimes.record(request.caller, clock.now() - startedAt);
            }
            dispatch();
        }

        return { release };
    }

    function dispatch(): void {
        while (running < options.slots()) {
            const queued = shiftNext();
            if (queued === undefined) {
                return;
            }
            const requiredMilliseconds = admissionConstants.minimumServiceTimesLeft * serviceTimes.mean();
            if (queued.expiresAt - clock.now() < requiredMilliseconds) {
                queued.waiter.reject(createOverloadedError("The time left is too short to run a statement."));
            }
            else if (!queued.waiter.isSettled) {
                queued.waiter.resolve(grant(queued.request));
            }
        }
    }

    function shiftNext(): QueuedRequest | undefined {
        if (deferred.length > 0 && hasSlotFor(deferred[0]!.request)) {
            return deferred.shift();
        }
        for (let queued = sessionQueue.shift(); queued !== undefined; queued = sessionQueue.shift()) {
            if (hasSlotFor(queued.request)) {
                return queued;
            }
            deferred.push(queued);
        }
        return boundedStalenessQueue.shift();
    }

    function createOverloadedError(reason: string): Error {
        return createError(ErrorKind.Overloaded, `Endpoint ${endpoint} is overloaded. ${reason}`, {
            remedy: "Send fewer requests at once, or retry after a pause.",
        });
    }

    function countWaiting(): number {
        return sessionQueue.length + boundedStalenessQueue.length + deferred.length;
    }

    function refuseWaiting(): void {
        const waitingRequests = deferred.splice(0);
        for (const queue of [sessionQueue, boundedStalenessQueue]) {
            for (let queued = queue.shift(); queued !== undefined; queued = queue.shift()) {
                waitingRequests.push(queued);
            }
        }
        for (const { waiter } of waitingRequests) {
            waiter.reject(createError(ErrorKind.Stopping, "This gateway is stopping.", {
                remedy: "Send the request to another gateway.",
            }));
        }
    }

    return { acquire, refuseWaiting, countRunning: () => running, countWaiting };
}
