import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { workspaceConstants } from "../../workspaces/constants.js";
import { placementConstants } from "../constants.js";
import { createOpeningPace } from "../createOpeningPace/index.js";
import type { EndpointOpener } from "../types/EndpointOpener.js";
import type { EndpointSessionPool } from "../types/EndpointSessionPool.js";
import type { PooledSession } from "../types/PooledSession.js";

/** Options of `createEndpointSessionPool`. */
interface EndpointSessionPoolOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** When this process started, on its clock. */
    readonly startedAt: number;
    readonly open: EndpointOpener;
    /** Returns the endpoint's newest record; undefined once it is removed. */
    readonly record: () => EndpointRecord | undefined;
    /** Returns the number of connections that may be open. */
    readonly limit: () => number;
    /** Whether this VM is meant to hold connections to the endpoint; otherwise idle ones are left to other VMs. */
    readonly isHolding: () => boolean;
    /** Called when a connection became available, was closed or could not be opened, and after a pause. */
    readonly onChange: () => void;
    readonly metrics: Pick<Metrics, "countConnection">;
    readonly log: LogTopic;
}

/**
 * Creates the pool of connections of one VM to one endpoint.
 *
 * Connections are opened on demand, and kept where this VM is meant to hold them. The pause after failed attempts to open one doubles up to a maximum.
 *
 * @param options Clock, function that opens connections, limit, and listener.
 * @returns The pool, empty.
 *
 * @example
 * const pooled = pool.acquire(values) ?? (pool.tryOpen(), undefined);
 */
export function createEndpointSessionPool(options: EndpointSessionPoolOptions): EndpointSessionPool {
    const { clock, log, metrics } = options;
    const idle: PooledSession[] = [];
    let openingCount = 0;
    let openCount = 0;
    const pace = createOpeningPace(options);
    let failingSince: number | undefined;
    let isClosed = false;

    function acquire(values: ReadonlyMap<string, string>): PooledSession | undefined {
        closeOutdated();
        const matching = idle.findLastIndex(({ values: currentValues }) =>
            currentValues.size <= values.size && [...currentValues].every(([name, value]) => values.get(name) === value)
        );
        const index = matching >= 0 ? matching : idle.length - 1;
        return index < 0 ? undefined : idle.splice(index, 1)[0];
    }

    function closeOutdated(): void {
        const startedAt = options.record()?.startedAt;
        for (const pooled of idle.filter(candidate => candidate.endpointStartedAt !== startedAt)) {
            pooled.session.close();
        }
    }

    function release(pooled: PooledSession): void {
        if (pooled.session.isClosed) {
            return;
        }
        if (isClosed || openCount > options.limit()) {
            pooled.session.close();
            return;
        }
        pooled.idleSince = clock.now();
        idle.push(pooled);
        options.onChange();
        if (pace.isSparing() && idle.includes(pooled)) {
            pooled.session.close();
        }
    }

    function tryOpen(): boolean {
        const record = options.record();
        if (
            record === undefined || isClosed || !pace.mayOpen(openCount, openingCount)
            || openCount + openingCount >= options.limit()
        ) {
            return false;
        }
        if (clock.now() - pace.pausedUntil() > placementConstants.maximumReopenMilliseconds) {
            // Nothing is known of the time since the last attempt.
            failingSince = undefined;
        }
        openingCount += 1;
        void openOne(record);
        return true;
    }

    async function openOne(record: EndpointRecord): Promise<void> {
        const startedAt = clock.now();
        try {
            const session = await options.open(
                record,
                workspaceConstants.anonymousOwner,
                placementConstants.openTimeoutMilliseconds,
            );
            openingCount -= 1;
            openCount += 1;
            pace.recordOpened();
            failingSince = undefined;
            metrics.countConnection();
            const pooled: PooledSession = {
                session,
                endpointStartedAt: record.startedAt,
                idleSince: clock.now(),
                values: new Map(),
                prepared: new Set(),
            };
            session.onClose(() => {
                openCount -= 1;
                const index = idle.indexOf(pooled);
                if (index >= 0) {
                    idle.splice(index, 1);
                }
                options.onChange();
            });
            release(pooled);
        }
        catch (error) {
            openingCount -= 1;
            pauseAfter(record, error, clock.now() - startedAt);
        }
    }

    function pauseAfter(record: EndpointRecord, error: unknown, tookMilliseconds: number): void {
        const { kind, message } = toTypedError(error);
        if (kind !== ErrorKind.ConnectionLimitReached) {
            failingSince ??= clock.now();
        }
        metrics.countConnection(kind);
        const pause = pace.recordFailure(kind);
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
        for (const pooled of idle.filter(({ idleSince }) => idleSince <= latest)) {
            pooled.session.close();
        }
    }

    function close(): void {
        isClosed = true;
        idle.splice(0).forEach(pooled => pooled.session.close());
    }

    return {
        acquire,
        release,
        tryOpen,
        closeUnused,
        close,
        openCount: () => openCount,
        openingCount: () => openingCount,
        failingSince: () => openCount === 0 ? failingSince : undefined,
        isSparing: pace.isSparing,
        isLimitLasting: () => pace.isLimitLasting() && openCount === 0 && openingCount === 0,
        isFailing: () => pace.failureCount() > 0 && openCount === 0 && openingCount === 0,
    };
}
