import { createClassQueue } from "../../admission/createClassQueue/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { RefusalMoment } from "../../metrics/types/RefusalMoment.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { placementConstants } from "../constants.js";
import { createEarlyRefusal } from "../createEarlyRefusal/index.js";
import { createOpeningPlan } from "../createOpeningPlan/index.js";
import { ownerOf } from "../ownerOf/index.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import type { OpeningPlan } from "../types/OpeningPlan.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import type { WaitingStatements } from "../types/WaitingStatements.js";

/** Options of `createWaitingStatements`. */
interface WaitingStatementsOptions {
    readonly clock: Clock;
    readonly group: string;
    /** Whether classes, time and owners decide on the order and on refusals; left out means that they do. */
    readonly isControlled?: () => boolean;
    /** Acquires an idle connection, or plans to open one. */
    readonly tryAcquire: (
        request: PlacementRequest,
        plan: OpeningPlan,
    ) => AcquiredConnection | undefined;
    /** Number of open connections to the group's primary, or to all its endpoints. */
    readonly countConnections: (needsPrimary: boolean) => number;
    readonly metrics: Pick<Metrics, "countWaitRefusal">;
    readonly log: LogTopic;
}

/** A request that waits for a connection. */
interface WaitingRequest {
    readonly request: PlacementRequest;
    readonly waiter: Waiter<AcquiredConnection>;
}

/**
 * Creates the queue of the statements that wait for a connection to an endpoint of one group.
 *
 * The most urgent statement is served first, within a share that less urgent ones keep; among equally urgent ones, one
 * that can still end within its target latency goes first, and owners share the connections fairly. A statement that is
 * not expected to be served in time is refused at once, and one that has waited too long at the end of its time.
 *
 * @param options Clock, group, and the functions that acquire and count connections.
 * @returns The queue, empty.
 *
 * @example
 * const waiting = createWaitingStatements({ clock, group: "orders", tryAcquire, countConnections, metrics, log });
 * const connection = await waiting.wait(request);
 */
export function createWaitingStatements(options: WaitingStatementsOptions): WaitingStatements {
    const { clock, group, tryAcquire, countConnections, metrics, log, isControlled = () => true } = options;
    const earlyRefusal = createEarlyRefusal({ clock, group, countConnections, log });
    const queue = createClassQueue<WaitingRequest>({
        priorityOf: ({ request }) => request.priority,
        callerOf: ({ request }) => ownerOf(request),
        isTimely: ({ request }) => isControlled() && earlyRefusal.isTimely(request),
        costOf: earlyRefusal.relativeCost,
        hasTurns: isControlled,
    });
    let isDispatching = false;
    let mustDispatchAgain = false;
    let isReviewScheduled = false;

    function wait(request: PlacementRequest): Promise<AcquiredConnection> {
        const entry: WaitingRequest = {
            request,
            waiter: createWaiter<AcquiredConnection>({
                clock,
                timeoutMilliseconds: request.expiresAt - clock.now(),
                signal: request.signal,
                onTimeout: () => {
                    queue.remove(entry);
                    metrics.countWaitRefusal(RefusalMoment.AtEnd, request.priority);
                },
                createTimeoutError: () =>
                    createOverloadedError(`No connection to an endpoint of ${group} became available in time.`),
            }),
        };
        queue.push(entry);
        earlyRefusal.recordArrival(request);
        dispatch();
        if (isControlled() && !entry.waiter.isSettled && earlyRefusal.refusesArrival(request, listRequests)) {
            refuseAtOnce(entry, "The expected wait for a connection is longer than the time left.");
        }
        else {
            earlyRefusal.recordAdmission(request);
        }
        if (queue.length > placementConstants.maximumWaitingStatements) {
            refuseAtOnce(queue.dropFor(entry) ?? entry, "Too many statements wait for a connection.");
        }
        scheduleReview();
        return entry.waiter.promise;
    }

    function listRequests(): readonly PlacementRequest[] {
        return queue.list().map(({ request }) => request);
    }

    function refuseAtOnce(entry: WaitingRequest, reason: string): void {
        queue.remove(entry);
        metrics.countWaitRefusal(RefusalMoment.AtOnce, entry.request.priority);
        entry.waiter.reject(createOverloadedError(reason));
    }

    function createOverloadedError(reason: string): Error {
        return createError(ErrorKind.Overloaded, reason, { remedy: "Send the request again after a pause." });
    }

    function scheduleReview(): void {
        if (isReviewScheduled || queue.length === 0 || !isControlled()) {
            return;
        }
        isReviewScheduled = true;
        clock.startTimer(placementConstants.reviewMilliseconds, () => {
            isReviewScheduled = false;
            review();
        });
    }

    function review(): void {
        const refused = new Set(earlyRefusal.listRefused(listRequests()));
        queue.list()
            .filter(({ request }) => refused.has(request))
            .forEach(entry => refuseAtOnce(entry, "The expected wait for a connection is longer than the time left."));
        scheduleReview();
    }

    function dispatch(): void {
        if (queue.length === 0) {
            return;
        }
        if (isDispatching) {
            // An attempt to acquire a connection may close others, which calls this function.
            mustDispatchAgain = true;
            return;
        }
        isDispatching = true;
        do {
            mustDispatchAgain = false;
            serveWaiting();
        }
        while (mustDispatchAgain);
        isDispatching = false;
    }

    function serveWaiting(): void {
        const plan = createOpeningPlan();
        const unserved = new Set<WaitingRequest>();
        const attemptsByNeed = new Map<string, number>();
        let connection: AcquiredConnection | undefined;

        function tryServe(entry: WaitingRequest): boolean {
            const need = describeNeed(entry.request);
            const attempts = attemptsByNeed.get(need) ?? 0;
            if (unserved.has(entry) || attempts >= placementConstants.attemptsPerNeed) {
                return false;
            }
            connection = tryAcquire(entry.request, plan);
            if (connection === undefined) {
                unserved.add(entry);
                attemptsByNeed.set(need, attempts + 1);
            }
            return connection !== undefined;
        }

        for (let entry = queue.shift(tryServe); entry !== undefined; entry = queue.shift(tryServe)) {
            entry.waiter.resolve(connection!);
        }
        plan.start();
    }

    return {
        wait,
        dispatch,
        recordHeld: (request, isPrimary, milliseconds) =>
            earlyRefusal.recordHeld(ownerOf(request), isPrimary, milliseconds),
        countWaiting: () => queue.length,
        countByPriority: queue.lengths,
    };
}

/** Statements with the same description can use the same connections. */
function describeNeed(request: PlacementRequest): string {
    const { needsPrimary, endpointId, excluded } = request;
    return [needsPrimary, endpointId, ownerOf(request), ...excluded].join(" ");
}
