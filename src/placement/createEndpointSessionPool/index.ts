import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { OpeningReason } from "../../metrics/types/OpeningReason.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import { workspaceConstants } from "../../workspaces/constants.js";
import { chooseIdle } from "../chooseIdle/index.js";
import { classifyOwner } from "../classifyOwner/index.js";
import { placementConstants } from "../constants.js";
import { countByOwner } from "../countByOwner/index.js";
import { createEvictionLog } from "../createEvictionLog/index.js";
import { createOpeningPace } from "../createOpeningPace/index.js";
import { createOpeningPauses } from "../createOpeningPauses/index.js";
import { createOpenings } from "../createOpenings/index.js";
import { createOpeningWishes } from "../createOpeningWishes/index.js";
import { createOwnedSession } from "../createOwnedSession/index.js";
import { decideOpening } from "../decideOpening/index.js";
import { sortWishes } from "../sortWishes/index.js";
import type { EndpointSessionPool } from "../types/EndpointSessionPool.js";
import type { EndpointSessionPoolOptions } from "../types/EndpointSessionPoolOptions.js";
import type { OpeningDecision } from "../types/OpeningDecision.js";
import { OpeningDecisionKind } from "../types/OpeningDecisionKind.js";
import type { OpeningInProgress } from "../types/OpeningInProgress.js";
import type { OpeningWish } from "../types/OpeningWish.js";
import type { OwnedSession } from "../types/OwnedSession.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import type { PooledSession } from "../types/PooledSession.js";

/**
 * Creates the pool of connections of one VM to one endpoint.
 *
 * Connections are opened on demand, each in the name of one owner, and kept where this VM is meant to hold them. At the
 * limit, an idle connection of another owner makes room. The pause after failed attempts to open one doubles up to a
 * maximum.
 *
 * @param options Clock, function that opens connections, limit, and listener.
 * @returns The pool, empty.
 *
 * @example
 * const pooled = pool.acquire(values, owner) ?? (pool.tryOpen(owner), undefined);
 */
export function createEndpointSessionPool(options: EndpointSessionPoolOptions): EndpointSessionPool {
    const { clock, log, metrics } = options;
    const { anonymousOwner } = workspaceConstants;
    /** The open connections; each is its own key, so that one that is returned is found. */
    const open = new Map<PooledSession, OwnedSession>();
    const idle: OwnedSession[] = [];
    const openings = createOpenings(clock, options.onChange);
    const wishes = createOpeningWishes(clock);
    const logEviction = createEvictionLog(clock, log);
    const pauses = createOpeningPauses(clock);
    const pace = createOpeningPace(options);
    let isPolling = false;
    let evictionsPaidUntil = -Infinity;
    let lastLessUrgentAt = -Infinity;
    let isClosed = false;

    function acquire(values: ReadonlyMap<string, string>, owner?: string, priority = 0): PooledSession | undefined {
        closeOutdated();
        const chosen = chooseIdle(idle, values, owner);
        if (chosen !== undefined) {
            removeIdle(chosen);
            chosen.isServingOwner = owner !== undefined;
            if (chosen.isServingOwner) {
                chosen.priority = priority;
                wishes.remove(chosen.owner);
            }
        }
        return chosen;
    }

    function removeIdle(session: OwnedSession): void {
        const index = idle.indexOf(session);
        if (index >= 0) {
            idle.splice(index, 1);
        }
    }

    function closeIdle(session: OwnedSession): void {
        removeIdle(session);
        session.session.close();
    }

    function closeOutdated(): void {
        const startedAt = options.record()?.startedAt;
        idle.filter(candidate => candidate.endpointStartedAt !== startedAt).forEach(closeIdle);
    }

    function release(pooled: PooledSession): void {
        const session = open.get(pooled);
        if (session === undefined || session.session.isClosed) {
            return;
        }
        if (isClosed || open.size > options.limit()) {
            session.session.close();
            return;
        }
        session.idleSince = clock.now();
        if (session.isServingOwner) {
            session.lastServedAt = session.idleSince;
            session.isServingOwner = false;
        }
        idle.push(session);
        openForWishes();
        options.onChange();
        if (pace.isSparing() && idle.includes(session)) {
            closeIdle(session);
        }
    }

    function limit(): number {
        return pace.isSparing() ? Math.min(options.sparingLimit(), options.limit()) : options.limit();
    }

    function countConnections(): ReadonlyMap<string, number> {
        return countByOwner([...open.values(), ...openings.list()]);
    }

    function decide(wish: OpeningWish): OpeningDecision<OwnedSession> {
        const occupancy = { idle, counts: countConnections(), limit: limit() };
        const history = { refusal: pauses.lastRefusal(), evictionsPaidUntil, lastLessUrgentAt };
        return decideOpening(wish, occupancy, history, clock.now());
    }

    /** Whether a pause or other openings, whatever the owners hold, prevent opening a connection now. */
    function isHeldBack(owner: string): boolean {
        const { concurrentOpenings, concurrentOwnerOpenings } = placementConstants;
        return isClosed
            || pauses.isPaused()
            || openings.list().length >= concurrentOwnerOpenings
            || openings.countOf(owner) >= concurrentOpenings;
    }

    function tryOpen(owner?: string): boolean {
        return start({ owner: owner ?? anonymousOwner, priority: 0 }, owner !== undefined);
    }

    function tryOpenAhead(owner: string): boolean {
        return !pace.isSparing() && openings.countOf(owner) === 0
            && start({ owner, priority: placementConstants.aheadPriority }, false);
    }

    function start(wish: OpeningWish, mayReplace: boolean): boolean {
        const { owner } = wish;
        const record = options.record();
        if (record === undefined || isHeldBack(owner)) {
            return false;
        }
        const decision = decide(wish);
        const isReplacing = decision.kind === OpeningDecisionKind.Replace;
        const isAllowed = isReplacing ? mayReplace : !pauses.isGrowthPaused();
        if (decision.kind === OpeningDecisionKind.Wait || !isAllowed) {
            return false;
        }
        pauses.recordAttempt();
        wishes.remove(owner);
        const opening = openings.begin(wish);
        if (isReplacing) {
            evict(record, decision.evicted, wish);
        }
        void openOne(record, opening, isReplacing ? OpeningReason.Replacement : OpeningReason.Room);
        return true;
    }

    function evict({ id }: EndpointRecord, evicted: OwnedSession, { owner: newOwner, priority }: OpeningWish): void {
        const now = clock.now();
        open.delete(evicted);
        closeIdle(evicted);
        evictionsPaidUntil = Math.max(evictionsPaidUntil, now) + placementConstants.evictionIntervalMilliseconds;
        lastLessUrgentAt = evicted.priority < priority ? now : lastLessUrgentAt;
        metrics.countEviction?.(classifyOwner(evicted.owner));
        logEviction({
            endpoint: id,
            evictedOwner: evicted.owner,
            newOwner,
            idleMilliseconds: now - evicted.idleSince,
        });
    }

    function requestOpening(
        { owner, priority }: Pick<PlacementRequest, "owner" | "priority">,
        expectedCount: number,
        mayReplace: boolean,
    ): boolean {
        return expectedCount < openings.countExpected(owner)
            || start({ owner: owner ?? anonymousOwner, priority }, mayReplace && owner !== undefined);
    }

    function recordWish(wish: OpeningWish, expiresAt: number): void {
        if (openings.countOf(wish.owner) === 0 && [...open.values()].some(({ owner }) => owner !== wish.owner)) {
            wishes.record(wish, expiresAt);
            poll();
        }
    }

    /** Opens connections for owners that found no room, now that a connection became idle. */
    function openForWishes(): void {
        sortWishes(wishes.list(), countConnections()).forEach(wish => start(wish, true));
    }

    /** Looks again for a connection that makes room: the time for which each stays passes without an event. */
    function poll(): void {
        if (isPolling) {
            return;
        }
        isPolling = true;
        clock.startTimer(placementConstants.evictionPollingMilliseconds, () => {
            isPolling = false;
            openForWishes();
            if (wishes.list().length > 0 && !isClosed) {
                poll();
            }
        });
    }

    async function openOne(record: EndpointRecord, opening: OpeningInProgress, reason: OpeningReason): Promise<void> {
        const { owner, startedAt } = opening;
        let session: EndpointSession;
        try {
            session = await options.open(record, owner, placementConstants.openTimeoutMilliseconds);
        }
        catch (error) {
            openings.end(opening);
            pauseAfter(record, reason, error, clock.now() - startedAt);
            return;
        }
        openings.end(opening);
        pauses.recordSuccess();
        pace.recordOpened();
        metrics.countConnection();
        metrics.countOpening?.(classifyOwner(owner), reason);
        add(session, record, opening);
    }

    function add(session: EndpointSession, record: EndpointRecord, opening: OpeningInProgress): void {
        const owned = createOwnedSession(session, record, opening, clock.now());
        open.set(owned, owned);
        session.onClose(() => {
            removeIdle(owned);
            if (open.delete(owned)) {
                options.onChange();
            }
        });
        release(owned);
    }

    function pauseAfter(record: EndpointRecord, reason: OpeningReason, error: unknown, tookMilliseconds: number): void {
        const { kind, message } = toTypedError(error);
        const pause = kind === ErrorKind.ConnectionLimitReached
            ? pauses.recordRefusal(
                open.size + openings.list().length,
                reason === OpeningReason.Replacement,
                pace.recordRefusal(),
            )
            : pauses.recordFailure();
        metrics.countConnection(kind);
        log("connection to an endpoint could not be opened", {
            endpoint: record.id,
            kind,
            reason: message,
            tookMilliseconds,
            pause,
        });
        options.onChange();
        void clock.sleep(pause).then(options.onChange);
    }

    function closeUnused(): void {
        if (options.isHolding()) {
            return;
        }
        const latest = clock.now() - placementConstants.unusedMilliseconds;
        idle.filter(({ idleSince }) => idleSince <= latest).forEach(closeIdle);
    }

    function close(): void {
        isClosed = true;
        idle.splice(0).forEach(({ session }) => session.close());
    }

    return {
        acquire,
        release,
        tryOpen,
        tryOpenAhead,
        requestOpening,
        recordWish,
        closeUnused,
        close,
        openCount: owner => owner === undefined ? open.size : countByOwner(open.values()).get(owner) ?? 0,
        isOpeningSparingly: () =>
            pace.isSparing() && (openings.list().length > 0 || !pauses.isGrowthPaused() && open.size < limit()),
        isLimitLasting: () => pace.isLimitLasting() && open.size + openings.list().length === 0,
        failingSince: () => open.size === 0 ? pauses.failingSince() : undefined,
        isFailing: () => pauses.hasFailed() && open.size === 0 && openings.list().length === 0,
    };
}
