import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { createPacing } from "../../pace/createPacing/index.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { computeVmConnectionLimit } from "../computeVmConnectionLimit/index.js";
import { placementConstants } from "../constants.js";
import { createAcquiredConnection } from "../createAcquiredConnection/index.js";
import { createEndpointSessionPool } from "../createEndpointSessionPool/index.js";
import { createLatencyEstimate } from "../createLatencyEstimate/index.js";
import { createUnusedCheck } from "../createUnusedCheck/index.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import type { EndpointOpener } from "../types/EndpointOpener.js";
import type { Placement } from "../types/Placement.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";

/** Options of `createPlacement`. */
interface PlacementOptions {
    readonly clock: Clock;
    readonly directory: Directory;
    readonly primaries: Primaries;
    readonly open: EndpointOpener;
    /** Location of this VM. */
    readonly vmLocation: Parameters<typeof createLatencyEstimate>[1];
    /** Returns the number of VMs that share the connections of a group's endpoints. */
    readonly vmCount: (group: string) => number;
    /** Whether this VM is one of the VMs that hold connections to a group's endpoints. */
    readonly isHolding: (group: string) => boolean;
    readonly metrics: Pick<Metrics, "countConnection" | "registerGauge">;
    readonly log: LogTopic;
}

/** A request that waits for a connection. */
interface WaitingRequest {
    readonly request: PlacementRequest;
    readonly waiter: Waiter<AcquiredConnection>;
}

/**
 * Creates the placement of statements on endpoints.
 *
 * With more statements than connections, the most urgent statement is served first, and a statement that has waited too
 * long is refused. With endpoints of unequal latency, a read goes to the endpoint with the lowest expected latency, and
 * to the primary only when it is lower by a margin.
 *
 * @param options Clock, directory, known primaries, function that opens connections, and location of this VM.
 * @returns The placement.
 *
 * @example
 * const connection = await placement.acquire({ group: "orders", needsPrimary: true, ... });
 */
export function createPlacement(options: PlacementOptions): Placement {
    const { clock, directory, primaries, log } = options;
    const targets = new Map<string, PlacementTarget>();
    const waitingByGroup = new Map<string, WaitingRequest[]>();
    const scheduleUnusedCheck = createUnusedCheck(clock, () => [...targets.values()].map(({ pool }) => pool));

    const pacing = createPacing({ ...options, isAble, onFree: dispatch });

    directory.onChange(groups => {
        closeRemoved();
        groups.forEach(dispatch);
    });
    primaries.onChange(dispatch);
    options.metrics.registerGauge("tarragonpost_waiting_statements", "Statements that wait for a connection.", () => {
        return [...waitingByGroup.values()].reduce((sum, waiting) => sum + waiting.length, 0);
    });
    options.metrics.registerGauge("tarragonpost_open_connections", "Connections to endpoints that are open.", () => {
        return [...targets.values()].reduce((sum, { pool }) => sum + pool.openCount(), 0);
    });

    function connectionLimit(group: string): number {
        return computeVmConnectionLimit(directory.groupSettings(group)?.connectionLimit ?? 0, options.vmCount(group));
    }

    function targetOf(endpoint: EndpointRecord): PlacementTarget {
        const { id, group } = endpoint;
        let target = targets.get(id);
        if (target === undefined) {
            target = {
                pool: createEndpointSessionPool({
                    clock,
                    open: options.open,
                    record: () => directory.endpoint(id),
                    limit: () => connectionLimit(group),
                    isHolding: () => options.isHolding(group),
                    onChange: () => {
                        scheduleUnusedCheck();
                        dispatch(group);
                    },
                    metrics: options.metrics,
                    log,
                }),
                latencyEstimate: createLatencyEstimate(clock, options.vmLocation),
                pausedUntil: -Infinity,
                lagPauseMilliseconds: 0,
                lastContactAt: -Infinity,
            };
            targets.set(id, target);
        }
        return target;
    }

    function isAble(endpointId: string): boolean {
        const target = targets.get(endpointId);
        return target !== undefined && target.pool.openCount() > 0 && target.lagPauseMilliseconds === 0;
    }

    function closeRemoved(): void {
        for (const [id, target] of targets) {
            if (directory.endpoint(id) === undefined) {
                target.pool.close();
                targets.delete(id);
            }
        }
    }

    function acquire(request: PlacementRequest): Promise<AcquiredConnection> {
        const waiting = waitingByGroup.get(request.group) ?? [];
        waitingByGroup.set(request.group, waiting);
        const connection = waiting.length === 0 ? tryAcquire(request, new Map()) : undefined;
        if (connection !== undefined) {
            return Promise.resolve(connection);
        }
        const unreachableId = findUnreachable(request);
        if (unreachableId !== undefined) {
            return Promise.reject(createUnreachable(unreachableId));
        }
        const waiter = createWaiter<AcquiredConnection>({
            clock,
            timeoutMilliseconds: request.expiresAt - clock.now(),
            signal: request.signal,
            onTimeout: () => {
                waiting.splice(waiting.indexOf(entry), 1);
            },
            createTimeoutError: () =>
                createError(
                    ErrorKind.Overloaded,
                    `No connection to an endpoint of ${request.group} became available in time.`,
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

    /** Finds the one endpoint that could serve a request, if it is not expected to accept a connection in time. */
    function findUnreachable({ endpointId, needsPrimary, group }: PlacementRequest): string | undefined {
        if (endpointId !== undefined) {
            return isFailing(endpointId) ? endpointId : undefined;
        }
        const primary = needsPrimary ? primaries.primaryOf(group) : undefined;
        return primary !== undefined && isLost(primary.id) ? primary.id : undefined;
    }

    /** Whether an endpoint accepted no connection and the pause before the next attempt to open one is not over. */
    function isFailing(endpointId: string): boolean {
        const pool = targets.get(endpointId)?.pool;
        return pool !== undefined && pool.isFailing() && !pool.tryOpen();
    }

    /** Whether an endpoint has accepted no connection for so long that another one would have replaced it. */
    function isLost(endpointId: string): boolean {
        const pool = targets.get(endpointId)?.pool;
        pool?.tryOpen();
        const failingSince = pool?.failingSince();
        return failingSince !== undefined && clock.now() - failingSince >= placementConstants.lostPrimaryMilliseconds;
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
        const openings = new Map<PlacementTarget, number>();
        for (const entry of [...waiting]) {
            if (entry.waiter.isSettled) {
                continue;
            }
            const connection = tryAcquire(entry.request, openings);
            if (connection !== undefined) {
                waiting.splice(waiting.indexOf(entry), 1);
                entry.waiter.resolve(connection);
            }
        }
    }

    /** Acquires an idle connection; starts to open one at each preferred endpoint that has none. */
    function tryAcquire(
        request: PlacementRequest,
        openings: Map<PlacementTarget, number>,
    ): AcquiredConnection | undefined {
        for (const endpoint of pacing.listUsable(request, listCandidates(request))) {
            const target = targetOf(endpoint);
            const pooled = target.pool.acquire(request.values);
            if (pooled !== undefined) {
                return createAcquiredConnection({
                    clock,
                    endpoint,
                    target,
                    pooled,
                    use: pacing.begin(request, endpoint),
                    isPrimary: endpoint.id === primaries.primaryOf(endpoint.group)?.id,
                });
            }
            const expectedOpenings = openings.get(target) ?? 0;
            if (expectedOpenings < target.pool.openingCount() || target.pool.tryOpen()) {
                openings.set(target, expectedOpenings + 1);
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
            targetOf(endpoint).latencyEstimate.expectedMilliseconds(endpoint)
            + pacing.penaltyMilliseconds(endpoint)
            + (endpoint.id === primary?.id ? placementConstants.primaryPenaltyMilliseconds : 0);
        // During a change of primary, an endpoint registered as the primary does not serve reads as a replica.
        return usable
            .filter(endpoint => !endpoint.isPrimary || endpoint.id === primary?.id)
            .sort((left, right) => cost(left) - cost(right));
    }

    function pause(endpoint: EndpointRecord, milliseconds: number): void {
        targetOf(endpoint).pausedUntil = clock.now() + milliseconds;
        void clock.sleep(milliseconds + 1).then(() => dispatch(endpoint.group));
    }

    function recordLagging(endpoint: EndpointRecord): void {
        const target = targetOf(endpoint);
        const {
            initialLagPauseMilliseconds,
            maximumLagPauseMilliseconds,
        } = placementConstants;
        target.lagPauseMilliseconds = Math.min(
            Math.max(2 * target.lagPauseMilliseconds, initialLagPauseMilliseconds),
            maximumLagPauseMilliseconds,
        );
        pause(endpoint, target.lagPauseMilliseconds);
    }

    function recordBusy(endpoint: EndpointRecord): void {
        pause(endpoint, placementConstants.busyPauseMilliseconds);
    }

    async function stop(): Promise<void> {
        for (const target of targets.values()) {
            target.pool.close();
        }
    }

    return {
        acquire,
        recordLagging,
        recordBusy,
        lastContactAt: endpointId => targets.get(endpointId)?.lastContactAt ?? -Infinity,
        stop,
    };
}
