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
import type { AdmissionSlot } from "../types/AdmissionSlot.js";
import type { AdmissionTicket } from "../types/AdmissionTicket.js";

/** Options of `createAdmissionQueue`. */
interface AdmissionQueueOptions {
    readonly clock: Clock;
    /** Name of the endpoint, for messages. */
    readonly endpoint: string;
    /** Slots that may be in use at once; read at each decision. */
    readonly slots: () => number;
    /** Tickets that may wait at once; read at each decision. */
    readonly queueLength: () => number;
    /** False lets every ticket pass at once. */
    readonly isLimiting: boolean;
}

/** A ticket in the queue. */
interface QueuedTicket {
    readonly ticket: AdmissionTicket;
    readonly expiresAt: number;
    readonly waiter: Waiter<AdmissionSlot>;
}

/**
 * Creates the slots of one endpoint with a bounded queue that is fair between callers.
 *
 * Transactions leave one slot to single statements when there are several. Aged reads pass when nothing else waits.
 * A ticket whose expected wait would take too much of its time left is refused at once: were the queue to grow up to
 * the deadlines, every statement would run at the edge of its deadline, and the least jitter would waste it.
 *
 * @param options Clock, endpoint, limits and whether they are applied.
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
    const sessionQueue = createFairQueue<QueuedTicket>(serviceTimes.relativeCost);
    const agedQueue = createFairQueue<QueuedTicket>(serviceTimes.relativeCost);
    const queues = {
        [AdmissionClass.Statement]: sessionQueue,
        [AdmissionClass.Transaction]: sessionQueue,
        [AdmissionClass.AgedRead]: agedQueue,
    };
    /** Transactions whose turn has come while no slot was open to transactions. */
    const deferred: QueuedTicket[] = [];
    let running = 0;
    let runningTransactions = 0;

    function enter(ticket: AdmissionTicket): Promise<AdmissionSlot> {
        if (!options.isLimiting || (hasRoomFor(ticket) && waiting() === 0)) {
            return Promise.resolve(grant(ticket));
        }
        const expectedWait = expectedWaitOf(ticket);
        if (expectedWait > admissionConstants.waitShare * ticket.timeLeftMilliseconds) {
            return Promise.reject(createOverload(`Expected wait ${Math.ceil(expectedWait)} ms is too long.`));
        }
        if (waiting() >= options.queueLength() && !makeRoom(ticket)) {
            return Promise.reject(createOverload(`The queue is full with ${waiting()} requests.`));
        }
        const queued = createQueuedTicket(ticket);
        queues[ticket.admissionClass].push(ticket.caller, queued);
        // The number of slots may have grown since the last decision.
        dispatch();
        return queued.waiter.promise;
    }

    function createQueuedTicket(ticket: AdmissionTicket): QueuedTicket {
        const queued: QueuedTicket = {
            ticket,
            expiresAt: clock.now() + ticket.timeLeftMilliseconds,
            waiter: createWaiter<AdmissionSlot>({
                clock,
                timeoutMilliseconds: ticket.timeLeftMilliseconds,
                signal: ticket.signal,
                onTimeout: () => forget(queued),
                createTimeoutError: () =>
                    createError(ErrorKind.DeadlineExceeded, `No slot of ${endpoint} came free before the deadline.`, {
                        remedy: "Send the request again with a later deadline.",
                    }),
            }),
        };
        return queued;
    }

    function forget(queued: QueuedTicket): void {
        if (!queues[queued.ticket.admissionClass].remove(queued.ticket.caller, queued)) {
            const index = deferred.indexOf(queued);
            if (index >= 0) {
                deferred.splice(index, 1);
            }
        }
    }

    function hasRoomFor(ticket: AdmissionTicket): boolean {
        const isBelowCap = ticket.admissionClass !== AdmissionClass.Transaction
            || runningTransactions < Math.max(options.slots() - 1, 1);
        return running < options.slots() && isBelowCap;
    }

    function expectedWaitOf(ticket: AdmissionTicket): number {
        const before = queues[ticket.admissionClass].countBefore(ticket.caller)
            + (ticket.admissionClass === AdmissionClass.AgedRead ? sessionQueue.length : 0);
        return serviceTimes.mean() * (before + 1) / Math.max(options.slots() - runningTransactions, 1);
    }

    function makeRoom(ticket: AdmissionTicket): boolean {
        const dropped = ticket.admissionClass === AdmissionClass.AgedRead
            ? agedQueue.dropFromLongest(ticket.caller)
            : agedQueue.dropFromLongest("") ?? sessionQueue.dropFromLongest(ticket.caller);
        dropped?.waiter.reject(createOverload("The queue is full and other callers have fewer requests in it."));
        return dropped !== undefined;
    }

    function grant(ticket: AdmissionTicket): AdmissionSlot {
        const startedAt = clock.now();
        const isTransaction = ticket.admissionClass === AdmissionClass.Transaction;
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
                serviceTimes.add(ticket.caller, clock.now() - startedAt);
            }
            dispatch();
        }

        return { release };
    }

    function dispatch(): void {
        while (running < options.slots()) {
            const queued = takeNext();
            if (queued === undefined) {
                return;
            }
            const leastTimeLeft = admissionConstants.leastServiceTimesLeft * serviceTimes.mean();
            if (queued.expiresAt - clock.now() < leastTimeLeft) {
                queued.waiter.reject(createOverload("The time left is too short to run a statement."));
            }
            else if (!queued.waiter.isSettled) {
                queued.waiter.resolve(grant(queued.ticket));
            }
        }
    }

    function takeNext(): QueuedTicket | undefined {
        if (deferred.length > 0 && hasRoomFor(deferred[0]!.ticket)) {
            return deferred.shift();
        }
        for (let queued = sessionQueue.shift(); queued !== undefined; queued = sessionQueue.shift()) {
            if (hasRoomFor(queued.ticket)) {
                return queued;
            }
            deferred.push(queued);
        }
        return agedQueue.shift();
    }

    function createOverload(reason: string): Error {
        return createError(ErrorKind.Overloaded, `Endpoint ${endpoint} is overloaded. ${reason}`, {
            remedy: "Send fewer requests at once, or try again after a pause.",
        });
    }

    function waiting(): number {
        return sessionQueue.length + agedQueue.length + deferred.length;
    }

    function refuseWaiting(): void {
        const waitingTickets = deferred.splice(0);
        for (const queue of [sessionQueue, agedQueue]) {
            for (let queued = queue.shift(); queued !== undefined; queued = queue.shift()) {
                waitingTickets.push(queued);
            }
        }
        for (const { waiter } of waitingTickets) {
            waiter.reject(createError(ErrorKind.Stopping, "This gateway is stopping.", {
                remedy: "Send the request to another gateway.",
            }));
        }
    }

    return { enter, refuseWaiting, running: () => running, waiting };
}
