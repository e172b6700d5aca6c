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
import { createOpeningWishes } from "../createOpeningWishes/index.js";
import { createOwnedSession } from "../createOwnedSession/index.js";
import { decideOpening } from "../decideOpening/index.js";
import { sortByConnectionCount } from "../sortByConnectionCount/index.js";
import type { EndpointSessionPool } from "../types/EndpointSessionPool.js";
import type { EndpointSessionPoolOptions } from "../types/EndpointSessionPoolOptions.js";
import type { OpeningDecision } from "../types/OpeningDecision.js";
import { OpeningDecisionKind } from "../types/OpeningDecisionKind.js";
import type { OpeningWish } from "../types/OpeningWish.js";
import type { OwnedSession } from "../types/OwnedSession.js";
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
    /** The open connections; each is its own key, so that one that is returned is found. */
    const open = new Map<PooledSession, OwnedSession>();
    const idle: OwnedSession[] = [];
    const openingOwners: string[] = [];
    const wishes = createOpeningWishes(clock);
    const logEviction = createEvictionLog(clock, log);
    const pauses = createOpeningPauses(clock);
    const pace = createOpeningPace(options);
    let isPolling = false;
    let lastEvictionAt = -Infinity;
    let isClosed = false;

    function acquire(values: ReadonlyMap<string, string>, owner?: string): PooledSession | undefined {
        closeOutdated();
        const chosen = chooseIdle(idle, values, owner);
        if (chosen !== undefined) {
            removeIdle(chosen);
            chosen.isServingOwner = owner !== undefined;
            if (chosen.isServingOwner) {
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

    function listOpenOwners(): string[] {
        return [...open.values()].map(({ owner }) => owner);
    }

    function countConnections(): ReadonlyMap<string, number> {
        return countByOwner([...listOpenOwners(), ...openingOwners]);
    }

    function decide(owner: string): OpeningDecision<OwnedSession> {
        const occupancy = { idle, counts: countConnections(), limit: limit() };
        return decideOpening(owner, occupancy, { refusal: pauses.lastRefusal(), lastEvictionAt }, clock.now());
    }

    /** Whether a pause or other openings, whatever the owners hold, prevent opening a connection now. */
    function isHeldBack(owner: string): boolean {
        const { concurrentOpenings, concurrentOwnerOpenings } = placementConstants;
        return isClosed
            || pauses.isPaused()
            || openingOwners.length >= concurrentOwnerOpenings
            || openingOwners.filter(other => other === owner).length >= concurrentOpenings;
    }

    function tryOpen(requestOwner?: string): boolean {
        return start(requestOwner ?? workspaceConstants.anonymousOwner, requestOwner !== undefined);
    }

    function tryOpenAhead(owner: string): boolean {
        return !pace.isSparing() && !openingOwners.includes(owner) && start(owner, false);
    }

    function start(owner: string, mayReplace: boolean): boolean {
        const record = options.record();
        if (record === undefined || isHeldBack(owner)) {
            return false;
        }
        const decision = decide(owner);
        const isReplacing = decision.kind === OpeningDecisionKind.Replace;
        const isAllowed = isReplacing ? mayReplace : !pauses.isGrowthPaused();
        if (decision.kind === OpeningDecisionKind.Wait || !isAllowed) {
            return false;
        }
        pauses.recordAttempt();
        wishes.remove(owner);
        openingOwners.push(owner);
        if (isReplacing) {
            evict(record, decision.evicted, owner);
        }
        void openOne(record, owner, isReplacing ? OpeningReason.Replacement : OpeningReason.Room);
        return true;
    }

    function evict({ id }: EndpointRecord, evicted: OwnedSession, newOwner: string): void {
        const now = clock.now();
        open.delete(evicted);
        closeIdle(evicted);
        lastEvictionAt = now;
        metrics.countEviction?.(classifyOwner(evicted.owner));
        logEviction({
            endpoint: id,
            evictedOwner: evicted.owner,
            newOwner,
            idleMilliseconds: now - evicted.idleSince,
        });
    }

    function requestOpenings(requested: readonly OpeningWish[]): void {
        for (
            const { owner, count, expiresAt } of sortByConnectionCount(
                requested,
                countConnections(),
                wish => wish.owner,
            )
        ) {
            const openings = openingOwners.filter(opening => owner === undefined || opening === owner);
            if (openings.length >= count || tryOpen(owner) || owner === undefined) {
                continue;
            }
            if (openings.length === 0 && listOpenOwners().some(other => other !== owner)) {
                wishes.record(owner, expiresAt);
                poll();
            }
        }
    }

    /** Opens connections for owners that found no room, now that a connection became idle. */
    function openForWishes(): void {
        sortByConnectionCount(wishes.list(), countConnections(), owner => owner).forEach(owner => tryOpen(owner));
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

    async function openOne(record: EndpointRecord, owner: string, reason: OpeningReason): Promise<void> {
        const startedAt = clock.now();
        let session: EndpointSession;
        try {
            session = await options.open(record, owner, placementConstants.openTimeoutMilliseconds);
        }
        catch (error) {
            removeOpening(owner);
            pauseAfter(record, reason, error, clock.now() - startedAt);
            return;
        }
        removeOpening(owner);
        pauses.recordSuccess();
        pace.recordOpened();
        metrics.countConnection();
        metrics.countOpening?.(classifyOwner(owner), reason);
        add(session, record, owner);
    }

    function removeOpening(owner: string): void {
        openingOwners.splice(openingOwners.indexOf(owner), 1);
    }

    function add(session: EndpointSession, record: EndpointRecord, owner: string): void {
        const owned = createOwnedSession(session, record, owner, clock.now());
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
                open.size + openingOwners.length,
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
        requestOpenings,
        closeUnused,
        close,
        openCount: owner => owner === undefined ? open.size : countByOwner(listOpenOwners()).get(owner) ?? 0,
        isOpeningSparingly: () =>
            pace.isSparing() && (openingOwners.length > 0 || !pauses.isPaused() && open.size < limit()),
        isLimitLasting: () => pace.isLimitLasting() && open.size + openingOwners.length === 0,
        failingSince: () => open.size === 0 ? pauses.failingSince() : undefined,
        isFailing: () => pauses.hasFailed() && open.size === 0 && openingOwners.length === 0,
    };
}
