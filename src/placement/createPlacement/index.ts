import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { placementConstants } from "../constants.js";
import { createEndpointScore } from "../createEndpointScore/index.js";
import { createEndpointSessions } from "../createEndpointSessions/index.js";
import { shareConnections } from "../shareConnections/index.js";
import type { EndpointLease } from "../types/EndpointLease.js";
import type { EndpointOpener } from "../types/EndpointOpener.js";
import type { EndpointSessions } from "../types/EndpointSessions.js";
import type { Placement } from "../types/Placement.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import type { PooledSession } from "../types/PooledSession.js";

/** Options of `createPlacement`. */
interface PlacementOptions {
    readonly clock: Clock;
    readonly directory: Directory;
    readonly primaries: Primaries;
    readonly open: EndpointOpener;
    /** Where this VM stands. */
    readonly place: Parameters<typeof createEndpointScore>[1];
    /** VMs that share the connections of a group's endpoints. */
    readonly vmCount: (group: string) => number;
    readonly metrics: Pick<Metrics, "countConnection" | "observe">;
    readonly log: LogTopic;
}

/** One endpoint as this VM sees it. */
interface Target {
    readonly sessions: EndpointSessions;
    readonly score: ReturnType<typeof createEndpointScore>;
    /** Until when no read is sent because it lagged or had no slot. */
    pausedUntil: number;
    lagPause: number;
    /** When it answered last. */
    answeredAt: number;
}

/** A request that waits for a connection. */
interface WaitingRequest {
    readonly request: PlacementRequest;
    readonly waiter: Waiter<EndpointLease>;
}

/**
 * Creates the placement of statements on endpoints.
 *
 * It answers two loads: more statements than connections, where the most urgent goes first and whatever has waited too
 * long is refused; and endpoints of unequal speed, where a read goes where its answer is expected first, and to the
 * primary only when that is clearly better.
 *
 * @param options Clock, directory, primaries, how to open connections, and where this VM stands.
 * @returns The placement.
 *
 * @example
 * const lease = await placement.acquire({ group: "orders", needsPrimary: true, ... });
 */
export function createPlacement(options: PlacementOptions): Placement {
    const { clock, directory, primaries, log } = options;
    const targets = new Map<string, Target>();
    const waitingByGroup = new Map<string, WaitingRequest[]>();

    directory.onChange(groups => {
        forgetGone();
        groups.forEach(dispatch);
    });
    primaries.onChange(dispatch);
    options.metrics.observe("tarragonpost_waiting_statements", "Statements that wait for a connection.", () => {
        return [...waitingByGroup.values()].reduce((sum, waiting) => sum + waiting.length, 0);
    });
    options.metrics.observe("tarragonpost_open_connections", "Connections to endpoints that are open.", () => {
        return [...targets.values()].reduce((sum, { sessions }) => sum + sessions.open(), 0);
    });

    function connectionLimit(group: string): number {
        return shareConnections(directory.groupSettings(group)?.connectionLimit ?? 0, options.vmCount(group));
    }

    function targetOf(endpoint: EndpointRecord): Target {
        const { id, group } = endpoint;
        let target = targets.get(id);
        if (target === undefined) {
            target = {
                sessions: createEndpointSessions({
                    clock,
                    open: options.open,
                    record: () => directory.endpoint(id),
                    limit: () => connectionLimit(group),
                    onChange: () => dispatch(group),
                    metrics: options.metrics,
                    log,
                }),
                score: createEndpointScore(clock, options.place),
                pausedUntil: -Infinity,
                lagPause: 0,
                answeredAt: -Infinity,
            };
            targets.set(id, target);
        }
        return target;
    }

    function forgetGone(): void {
        for (const [id, target] of targets) {
            if (directory.endpoint(id) === undefined) {
                target.sessions.close();
                targets.delete(id);
            }
        }
    }

    function acquire(request: PlacementRequest): Promise<EndpointLease> {
        const waiting = waitingByGroup.get(request.group) ?? [];
        waitingByGroup.set(request.group, waiting);
        const lease = waiting.length === 0 ? tryPlace(request, new Map()) : undefined;
        if (lease !== undefined) {
            return Promise.resolve(lease);
        }
        if (request.endpointId !== undefined && targets.get(request.endpointId)?.sessions.isFailing() === true) {
            return Promise.reject(createUnreachable(request.endpointId));
        }
        const waiter = createWaiter<EndpointLease>({
            clock,
            timeoutMilliseconds: request.expiresAt - clock.now(),
            onTimeout: () => {
                waiting.splice(waiting.indexOf(entry), 1);
            },
            createTimeoutError: () =>
                createError(
                    ErrorKind.Overloaded,
                    `No connection to an endpoint of ${request.group} came free in time.`,
                    {
                        remedy: "Send the request again after a pause.",
                    },
                ),
        });
        const entry: WaitingRequest = { request, waiter };
        const index = waiting.findIndex(other => other.request.priority > request.priority);
        waiting.splice(index < 0 ? waiting.length : index, 0, entry);
        dispatch(request.group);
        return waiter.promise;
    }

    function createUnreachable(endpointId: string): Error {
        return createError(ErrorKind.Unreachable, `Endpoint ${endpointId} accepts no connection.`, {
            remedy: "Try again after a pause.",
        });
    }

    function dispatch(group: string): void {
        const waiting = waitingByGroup.get(group);
        if (waiting === undefined || waiting.length === 0) {
            return;
        }
        const openings = new Map<Target, number>();
        for (const entry of [...waiting]) {
            if (entry.waiter.isSettled) {
                continue;
            }
            const lease = tryPlace(entry.request, openings);
            if (lease !== undefined) {
                waiting.splice(waiting.indexOf(entry), 1);
                entry.waiter.resolve(lease);
            }
        }
    }

    /** Finds an idle connection; asks for one to be opened where that would have been better. */
    function tryPlace(request: PlacementRequest, openings: Map<Target, number>): EndpointLease | undefined {
        for (const endpoint of listCandidates(request)) {
            const target = targetOf(endpoint);
            const pooled = target.sessions.take(request.values);
            if (pooled !== undefined) {
                return createLease(endpoint, target, pooled);
            }
            const awaited = openings.get(target) ?? 0;
            if (awaited < target.sessions.opening() || target.sessions.tryOpen()) {
                openings.set(target, awaited + 1);
            }
        }
        return undefined;
    }

    function listCandidates(request: PlacementRequest): readonly EndpointRecord[] {
        if (request.endpointId !== undefined) {
            const endpoint = directory.endpoint(request.endpointId);
            return endpoint === undefined ? [] : [endpoint];
        }
        const primary = primaries.primaryOf(request.group);
        if (request.needsPrimary) {
            return primary === undefined ? [] : [primary];
        }
        const now = clock.now();
        const usable = directory.endpointsOf(request.group).filter(endpoint => {
            const target = targetOf(endpoint);
            return !endpoint.isLeaving && !request.excluded.has(endpoint.id) && target.pausedUntil <= now;
        });
        const cost = (endpoint: EndpointRecord) =>
            targetOf(endpoint).score.expectedMilliseconds(endpoint)
            + (endpoint.id === primary?.id ? placementConstants.primaryPenaltyMilliseconds : 0);
        // While the primary is being changed, the endpoint that holds itself for it is no replica to read from.
        return usable
            .filter(endpoint => !endpoint.isPrimary || endpoint.id === primary?.id)
            .sort((left, right) => cost(left) - cost(right));
    }

    function createLease(endpoint: EndpointRecord, target: Target, pooled: PooledSession): EndpointLease {
        let isHeld = true;
        const end = (finish: () => void): void => {
            if (isHeld) {
                isHeld = false;
                finish();
            }
        };
        return {
            endpoint,
            isPrimary: endpoint.id === primaries.primaryOf(endpoint.group)?.id,
            pooled,
            exchange: async (statements, timeoutMilliseconds) => {
                const sentAt = clock.now();
                const answers = await pooled.session.exchange(statements, timeoutMilliseconds);
                target.answeredAt = clock.now();
                target.score.noteLatency(target.answeredAt - sentAt);
                target.lagPause = 0;
                return answers;
            },
            release: () => end(() => target.sessions.give(pooled)),
            discard: () => end(() => pooled.session.close()),
        };
    }

    function pause(endpoint: EndpointRecord, milliseconds: number): void {
        targetOf(endpoint).pausedUntil = clock.now() + milliseconds;
        void clock.sleep(milliseconds + 1).then(() => dispatch(endpoint.group));
    }

    function noteLagging(endpoint: EndpointRecord): void {
        const target = targetOf(endpoint);
        const { firstLagMilliseconds, greatestLagMilliseconds } = placementConstants;
        target.lagPause = Math.min(Math.max(2 * target.lagPause, firstLagMilliseconds), greatestLagMilliseconds);
        pause(endpoint, target.lagPause);
    }

    function noteBusy(endpoint: EndpointRecord): void {
        pause(endpoint, placementConstants.busyMilliseconds);
    }

    async function stop(): Promise<void> {
        for (const target of targets.values()) {
            target.sessions.close();
        }
    }

    return {
        acquire,
        noteLagging,
        noteBusy,
        answeredAt: endpointId => targets.get(endpointId)?.answeredAt ?? -Infinity,
        stop,
    };
}
