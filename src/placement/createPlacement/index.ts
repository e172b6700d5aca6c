import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { RefusalMoment } from "../../metrics/types/RefusalMoment.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { computeVmConnectionLimit } from "../computeVmConnectionLimit/index.js";
import { placementConstants } from "../constants.js";
import { createAcquiredConnection } from "../createAcquiredConnection/index.js";
import { createEndpointSessionPool } from "../createEndpointSessionPool/index.js";
import { createLatencyEstimate } from "../createLatencyEstimate/index.js";
import { createUnusedCheck } from "../createUnusedCheck/index.js";
import { createWaitingStatements } from "../createWaitingStatements/index.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import type { EndpointOpener } from "../types/EndpointOpener.js";
import type { Placement } from "../types/Placement.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";
import type { WaitingStatements } from "../types/WaitingStatements.js";

/** Options of `createPlacement`. */
interface PlacementOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly directory: Directory;
    readonly primaries: Primaries;
    readonly open: EndpointOpener;
    /** Location of this VM. */
    readonly vmLocation: Parameters<typeof createLatencyEstimate>[1];
    /** Returns the number of VMs that share the connections of a group's endpoints. */
    readonly vmCount: (group: string) => number;
    /** Whether this VM is one of the VMs that hold connections to a group's endpoints. */
    readonly isHolding: (group: string) => boolean;
    readonly metrics: Pick<Metrics, "countConnection" | "countWaitRefusal" | "registerGauge">;
    readonly log: LogTopic;
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
    const startedAt = clock.now();
    const targets = new Map<string, PlacementTarget>();
    const waitingByGroup = new Map<string, WaitingStatements>();
    const scheduleUnusedCheck = createUnusedCheck(clock, () => [...targets.values()].map(({ pool }) => pool));

    directory.onChange(groups => {
        closeRemoved();
        groups.forEach(dispatch);
    });
    primaries.onChange(dispatch);
    options.metrics.registerGauge("tarragonpost_waiting_statements", "Statements that wait for a connection.", () => {
        return [...waitingByGroup.values()].reduce((sum, waiting) => sum + waiting.countWaiting(), 0);
    });
    options.metrics.registerGauge("tarragonpost_waiting_by_priority", "Statements that wait, by priority.", () => {
        const counts = [...waitingByGroup.values()].flatMap(waiting => [...waiting.countByPriority()]);
        const priorities = new Set(counts.map(([priority]) => priority));
        return new Map([...priorities].map(priority => [
            priority,
            counts.filter(([other]) => other === priority).reduce((sum, [, count]) => sum + count, 0),
        ]));
    }, "priority");
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
                    random: options.random,
                    startedAt,
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

    function closeRemoved(): void {
        for (const [id, target] of targets) {
            if (directory.endpoint(id) === undefined) {
                target.pool.close();
                targets.delete(id);
            }
        }
    }

    function waitingOf(group: string): WaitingStatements {
        let waiting = waitingByGroup.get(group);
        if (waiting === undefined) {
            waiting = createWaitingStatements({
                clock,
                group,
                tryAcquire,
                countConnections: needsPrimary => countConnections(group, needsPrimary),
                metrics: options.metrics,
                log,
            });
            waitingByGroup.set(group, waiting);
        }
        return waiting;
    }

    function countConnections(group: string, needsPrimary: boolean): number {
        const primaryId = primaries.primaryOf(group)?.id;
        return directory.endpointsOf(group)
            .filter(({ id }) => !needsPrimary || id === primaryId)
            .reduce((sum, { id }) => sum + (targets.get(id)?.pool.openCount() ?? 0), 0);
    }

    function acquire(request: PlacementRequest): Promise<AcquiredConnection> {
        const waiting = waitingOf(request.group);
        const connection = waiting.countWaiting() === 0 ? tryAcquire(request, new Map()) : undefined;
        if (connection !== undefined) {
            return Promise.resolve(connection);
        }
        if (isLimitLasting(request)) {
            options.metrics.countWaitRefusal(RefusalMoment.AtOnce, request.priority);
            return Promise.reject(createLimitLasting(request.group));
        }
        const unreachableId = findUnreachable(request);
        return unreachableId === undefined ? waiting.wait(request) : Promise.reject(createUnreachable(unreachableId));
    }

    /** Whether each endpoint that could serve a caller's request has no place left for a connection of this VM. */
    function isLimitLasting(request: PlacementRequest): boolean {
        const isSpecific = request.endpointId !== undefined || request.needsPrimary;
        const candidates = isSpecific ? listCandidates(request) : directory.endpointsOf(request.group);
        return request.priority >= 0
            && candidates.length > 0
            && candidates.every(({ id }) => targets.get(id)?.pool.isLimitLasting() === true);
    }

    function createLimitLasting(group: string): Error {
        return createError(ErrorKind.Overloaded, `The endpoints of ${group} accept no more connections now.`, {
            remedy: "Send the request again after a pause.",
        });
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
        waitingByGroup.get(group)?.dispatch();
    }

    /** Acquires an idle connection; starts to open one at each preferred endpoint that has none. */
    function tryAcquire(
        request: PlacementRequest,
        openings: Map<PlacementTarget, number>,
    ): AcquiredConnection | undefined {
        for (const endpoint of listCandidates(request)) {
            const target = targetOf(endpoint);
            const pooled = target.pool.acquire(request.values);
            if (pooled !== undefined) {
                const isPrimary = endpoint.id === primaries.primaryOf(endpoint.group)?.id;
                const onEnd = (milliseconds: number): void =>
                    waitingOf(request.group).recordHeld(request, isPrimary, milliseconds);
                return createAcquiredConnection({ clock, endpoint, target, pooled, isPrimary, onEnd });
            }
            const expectedOpenings = openings.get(target) ?? 0;
            if (expectedOpenings < target.pool.openingCount() || target.pool.tryOpen()) {
                openings.set(target, expectedOpenings + 1);
                if (target.pool.isSparing()) {
                    return undefined;
                }
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
