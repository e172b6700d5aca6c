import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { RefusalMoment } from "../../metrics/types/RefusalMoment.js";
import { createPacing } from "../../pace/createPacing/index.js";
import { computeVmConnectionLimit } from "../computeVmConnectionLimit/index.js";
import { placementConstants } from "../constants.js";
import { countOpeningWait } from "../countOpeningWait/index.js";
import { createAcquiredConnection } from "../createAcquiredConnection/index.js";
import { createConnectionWarmup } from "../createConnectionWarmup/index.js";
import { createEndpointSessionPool } from "../createEndpointSessionPool/index.js";
import { createLatencyEstimate } from "../createLatencyEstimate/index.js";
import { createOpeningPlan } from "../createOpeningPlan/index.js";
import { createReadPauses } from "../createReadPauses/index.js";
import { createUnusedCheck } from "../createUnusedCheck/index.js";
import { createWaitingStatements } from "../createWaitingStatements/index.js";
import { registerPlacementGauges } from "../registerPlacementGauges/index.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import type { OpeningPlan } from "../types/OpeningPlan.js";
import type { Placement } from "../types/Placement.js";
import type { PlacementOptions } from "../types/PlacementOptions.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";
import type { WaitingStatements } from "../types/WaitingStatements.js";

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
    const { isControlled = () => true } = options;
    const startedAt = clock.now();
    const targets = new Map<string, PlacementTarget>();
    const waitingByGroup = new Map<string, WaitingStatements>();
    const readPauses = createReadPauses(clock, targetOf, dispatch);
    const scheduleUnusedCheck = createUnusedCheck(clock, () => [...targets.values()].map(({ pool }) => pool));

    const pacing = createPacing({ ...options, isAble, onFree: dispatch });
    const scheduleWarmup = createConnectionWarmup(clock, listWarmGroups);

    directory.onChange(groups => {
        closeRemoved();
        groups.forEach(dispatch);
        scheduleWarmup();
    });
    primaries.onChange(dispatch);
    registerPlacementGauges(options.metrics, {
        listWaiting: () => [...waitingByGroup.values()],
        listPools: () => [...targets.values()].map(({ pool }) => pool),
    });

    function connectionLimit(group: string): number {
        const hasWorkspaces = (directory.routingTable()?.workspaces ?? []).length > 0;
        const endpointLimit = directory.groupSettings(group)?.connectionLimit ?? 0;
        return computeVmConnectionLimit(endpointLimit, options.vmCount(group), hasWorkspaces);
    }

    /** Connections of this VM while the endpoint may still count as many of before the start as all VMs may hold. */
    function sparingLimit(group: string): number {
        const endpointLimit = directory.groupSettings(group)?.connectionLimit ?? 0;
        return Math.max(Math.floor(endpointLimit / options.vmCount(group)) - connectionLimit(group), 1);
    }

    /** The groups whose connections this VM holds for workspaces. */
    function listWarmGroups() {
        return directory.groups().filter(options.isHolding).map(group => ({
            pools: directory.endpointsOf(group).filter(({ isLeaving }) => !isLeaving).map(each => targetOf(each).pool),
            hasWaiting: (waitingByGroup.get(group)?.countWaiting() ?? 0) > 0,
            listWorkspaces: () => options.listHostedWorkspaces?.(group) ?? [],
        }));
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
                    sparingLimit: () => sparingLimit(group),
                    isHolding: () => options.isHolding(group),
                    isControlled: () => isControlled(group),
                    onChange: () => {
                        scheduleUnusedCheck();
                        scheduleWarmup();
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

    function waitingOf(group: string): WaitingStatements {
        let waiting = waitingByGroup.get(group);
        if (waiting === undefined) {
            waiting = createWaitingStatements({
                clock,
                group,
                isControlled: () => isControlled(group),
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
        const plan = createOpeningPlan();
        const connection = waiting.countWaiting() === 0 ? tryAcquire(request, plan) : undefined;
        plan.start();
        if (connection !== undefined) {
            return Promise.resolve(connection);
        }
        if (isLimitLasting(request)) {
            options.metrics.countWaitRefusal(RefusalMoment.AtOnce, request.priority);
            return Promise.reject(createLimitLasting(request.group));
        }
        const unreachableId = findUnreachable(request);
        if (unreachableId !== undefined) {
            return Promise.reject(createUnreachable(unreachableId));
        }
        countOpeningWait(
            options.metrics,
            request.owner,
            () => listCandidates(request).map(each => targetOf(each).pool),
        );
        return waiting.wait(request);
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
    function findUnreachable({ endpointId, needsPrimary, group, owner }: PlacementRequest): string | undefined {
        if (endpointId !== undefined) {
            return isFailing(endpointId, owner) ? endpointId : undefined;
        }
        const primary = needsPrimary ? primaries.primaryOf(group) : undefined;
        return primary !== undefined && isLost(primary.id, owner) ? primary.id : undefined;
    }

    /** Whether an endpoint accepted no connection and the pause before the next attempt to open one is not over. */
    function isFailing(endpointId: string, owner: string | undefined): boolean {
        const pool = targets.get(endpointId)?.pool;
        return pool !== undefined && pool.isFailing() && !pool.tryOpen(owner);
    }

    /** Whether an endpoint has accepted no connection for so long that another one would have replaced it. */
    function isLost(endpointId: string, owner: string | undefined): boolean {
        const pool = targets.get(endpointId)?.pool;
        if (pool?.failingSince() !== undefined) {
            pool.tryOpen(owner);
        }
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

    /** Acquires an idle connection; plans to open one at each preferred endpoint that has none. */
    function tryAcquire(
        request: PlacementRequest,
        plan: OpeningPlan,
    ): AcquiredConnection | undefined {
        const missing: PlacementTarget[] = [];
        for (const endpoint of pacing.listUsable(request, listCandidates(request))) {
            const target = targetOf(endpoint);
            const pooled = target.pool.acquire(request.values, request.owner, request.priority);
            if (pooled !== undefined) {
                plan.add(request, missing, true);
                const isPrimary = endpoint.id === primaries.primaryOf(endpoint.group)?.id;
                const use = pacing.begin(request, endpoint);
                const onEnd = (milliseconds: number): void =>
                    waitingOf(request.group).recordHeld(request, isPrimary, milliseconds);
                return createAcquiredConnection({ clock, endpoint, target, pooled, use, isPrimary, onEnd });
            }
            missing.push(target);
            if (target.pool.isOpeningSparingly() && !pacing.isSetAside(endpoint)) {
                break;
            }
        }
        plan.add(request, missing, false);
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

    async function stop(): Promise<void> {
        for (const target of targets.values()) {
            target.pool.close();
        }
    }

    return {
        acquire,
        recordLagging: readPauses.recordLagging,
        recordBusy: readPauses.recordBusy,
        lastContactAt: endpointId => targets.get(endpointId)?.lastContactAt ?? -Infinity,
        stop,
    };
}
