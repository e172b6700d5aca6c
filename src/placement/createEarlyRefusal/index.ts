import { admissionConstants } from "../../admission/constants.js";
import { createRefusalState } from "../../admission/createRefusalState/index.js";
import { createWaitEstimate } from "../../admission/createWaitEstimate/index.js";
import type { RefusalState } from "../../admission/types/RefusalState.js";
import type { WaitEstimate } from "../../admission/types/WaitEstimate.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { placementConstants } from "../constants.js";
import { ownerOf } from "../ownerOf/index.js";
import type { EarlyRefusal } from "../types/EarlyRefusal.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";

/** Options of `createEarlyRefusal`. */
interface EarlyRefusalOptions {
    readonly clock: Clock;
    readonly group: string;
    /** Number of open connections to the group's primary, or to all its endpoints. */
    readonly countConnections: (needsPrimary: boolean) => number;
    readonly log: LogTopic;
}

/** Statements of a group that compete for the same connections. */
interface Lane {
    readonly needsPrimary: boolean;
    readonly estimate: WaitEstimate;
    readonly refusals: RefusalState;
}

/** A statement's place, and the highest ratio so far, during one walk over the waiting statements. */
interface Walk {
    readonly connections: number;
    readonly aheadByPriority: Map<number, number>;
    ahead: number;
    worstRatio: number;
}

/**
 * Creates the decision which waiting statements of a group are refused at once.
 *
 * Statements that need the primary and those that any endpoint may serve are judged apart. Statements of the program
 * itself, and those for a specific endpoint, are never refused.
 *
 * @param options Clock, group, number of connections and the log.
 * @returns The decision, without evidence.
 *
 * @example
 * refusal.listRefused(waitingRequests).forEach(refuse);
 */
export function createEarlyRefusal(options: EarlyRefusalOptions): EarlyRefusal {
    const { clock, group, countConnections, log } = options;
    const primaryLane = createLane(true);
    const commonLane = createLane(false);
    let loggedAt = -Infinity;
    let unloggedCount = 0;

    function createLane(needsPrimary: boolean): Lane {
        return { needsPrimary, estimate: createWaitEstimate(clock), refusals: createRefusalState(clock) };
    }

    function laneOf({ endpointId, priority, needsPrimary }: PlacementRequest): Lane | undefined {
        if (endpointId !== undefined || priority < 0) {
            return undefined;
        }
        return needsPrimary ? primaryLane : commonLane;
    }

    function createWalk({ needsPrimary }: Lane): Walk {
        return { connections: countConnections(needsPrimary), aheadByPriority: new Map(), ahead: 0, worstRatio: 0 };
    }

    /**
     * Ratio of expected wait and time left; 0 without evidence. A statement that has just arrived may use only a share
     * of the time to its target: in a lasting overload the queue then stays short enough for retried statements. The same
     * share tells whether an overload begins.
     */
    function computeRatio(request: PlacementRequest, { estimate }: Lane, walk: Walk, targetShare: number): number {
        const { priority, expiresAt, targetAt } = request;
        const aheadInClass = walk.aheadByPriority.get(priority) ?? 0;
        if (walk.ahead < walk.connections || aheadInClass === 0) {
            // A connection that is released, or a turn that a class is owed, needs a statement that waits for it.
            return 0;
        }
        const now = clock.now();
        // An owner that asks for less than its share is served in its turn, however many statements others send.
        const isBelowShare = estimate.isBelowFairShare(ownerOf(request), walk.connections);
        const expected = estimate.expectedMilliseconds({
            priority,
            ahead: walk.ahead,
            aheadInClass,
            connections: walk.connections,
            targetMilliseconds: isBelowShare ? Infinity : targetShare * ((targetAt ?? Infinity) - now),
        });
        return expected === undefined ? 0 : expected / Math.max(expiresAt - now, 1);
    }

    function countAhead({ priority }: PlacementRequest, walk: Walk): void {
        walk.ahead += 1;
        walk.aheadByPriority.set(priority, (walk.aheadByPriority.get(priority) ?? 0) + 1);
    }

    function listRefused(requests: readonly PlacementRequest[]): readonly PlacementRequest[] {
        const walks = new Map([primaryLane, commonLane].map(lane => [lane, createWalk(lane)]));
        const refused = requests.filter(request => {
            const lane = laneOf(request);
            if (lane === undefined) {
                return false;
            }
            const walk = walks.get(lane)!;
            const ratio = computeRatio(
                request,
                lane,
                walk,
                lane.refusals.isRefusing() ? 1 : admissionConstants.attemptTargetShare,
            );
            walk.worstRatio = Math.max(walk.worstRatio, ratio);
            if (lane.refusals.shouldRefuse(ratio)) {
                logRefusal(request, lane, walk, ratio);
                return true;
            }
            countAhead(request, walk);
            return false;
        });
        walks.forEach(({ worstRatio }, { refusals }) => refusals.review(worstRatio));
        return refused;
    }

    function refusesArrival(request: PlacementRequest, listRequests: () => readonly PlacementRequest[]): boolean {
        const lane = laneOf(request);
        if (lane?.refusals.isRefusing() !== true) {
            return false;
        }
        const walk = createWalk(lane);
        const requests = listRequests();
        requests
            .slice(0, requests.indexOf(request))
            .filter(other => laneOf(other) === lane)
            .forEach(other => countAhead(other, walk));
        const ratio = computeRatio(request, lane, walk, admissionConstants.attemptTargetShare);
        const isRefused = lane.refusals.shouldRefuse(ratio);
        if (isRefused) {
            logRefusal(request, lane, walk, ratio);
        }
        return isRefused;
    }

    /** Logs the inputs of one decision in each interval, and how many were alike since. */
    function logRefusal(request: PlacementRequest, { needsPrimary, estimate }: Lane, walk: Walk, ratio: number): void {
        unloggedCount += 1;
        if (clock.now() - loggedAt < placementConstants.refusalLogMilliseconds) {
            return;
        }
        log("statement refused at once: it is not expected to get a connection in time", {
            group,
            needsPrimary,
            priority: request.priority,
            ahead: walk.ahead,
            connections: walk.connections,
            neededMilliseconds: Math.round(estimate.neededMilliseconds()),
            timeLeftMilliseconds: Math.round(request.expiresAt - clock.now()),
            ratio: Math.round(100 * Math.min(ratio, placementConstants.maximumLoggedRatio)) / 100,
            refusedSinceLastLine: unloggedCount,
        });
        loggedAt = clock.now();
        unloggedCount = 0;
    }

    function recordHeld(owner: string, isPrimary: boolean, milliseconds: number): void {
        commonLane.estimate.recordService(owner, milliseconds);
        if (isPrimary) {
            primaryLane.estimate.recordService(owner, milliseconds);
        }
    }

    function isTimely(request: PlacementRequest): boolean {
        const needed = (laneOf(request) ?? commonLane).estimate.neededMilliseconds();
        return request.targetAt === undefined || clock.now() + needed <= request.targetAt;
    }

    return {
        recordArrival: request => laneOf(request)?.estimate.recordArrival(request.priority, ownerOf(request)),
        recordHeld,
        listRefused,
        refusesArrival,
        isTimely,
        relativeCost: commonLane.estimate.relativeCost,
    };
}
