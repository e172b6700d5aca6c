import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import { placementConstants } from "../constants.js";
import type { EndpointOpener } from "../types/EndpointOpener.js";
import type { EndpointSessions } from "../types/EndpointSessions.js";
import type { PooledSession } from "../types/PooledSession.js";

/** Options of `createEndpointSessions`. */
interface EndpointSessionsOptions {
    readonly clock: Clock;
    readonly open: EndpointOpener;
    /** The endpoint's newest record; undefined when it is gone. */
    readonly record: () => EndpointRecord | undefined;
    /** Connections that may be open at once. */
    readonly limit: () => number;
    /** Told when a connection came free or an attempt to open one failed. */
    readonly onChange: () => void;
    readonly metrics: Pick<Metrics, "countConnection">;
    readonly log: LogTopic;
}

/**
 * Creates the connections of one VM to one endpoint.
 *
 * Connections are opened on demand and kept. After a failed attempt there is a pause that doubles.
 *
 * @param options Clock, how to open, limits, and whom to tell.
 * @returns The connections, none open.
 *
 * @example
 * const pooled = sessions.take(values) ?? (sessions.tryOpen(), undefined);
 */
export function createEndpointSessions(options: EndpointSessionsOptions): EndpointSessions {
    const { clock, log, metrics } = options;
    const idle: PooledSession[] = [];
    let opening = 0;
    let open = 0;
    let failures = 0;
    let pausedUntil = -Infinity;
    let isClosed = false;

    function take(values: ReadonlyMap<string, string>): PooledSession | undefined {
        dropOutdated();
        const matching = idle.findLastIndex(({ values: present }) =>
            present.size <= values.size && [...present].every(([name, value]) => values.get(name) === value)
        );
        const index = matching >= 0 ? matching : idle.length - 1;
        return index < 0 ? undefined : idle.splice(index, 1)[0];
    }

    function dropOutdated(): void {
        const startedAt = options.record()?.startedAt;
        for (const pooled of idle.filter(candidate => candidate.endpointStartedAt !== startedAt)) {
            pooled.session.close();
        }
    }

    function give(pooled: PooledSession): void {
        if (pooled.session.isClosed) {
            return;
        }
        if (isClosed || open > options.limit()) {
            pooled.session.close();
            return;
        }
        idle.push(pooled);
        options.onChange();
    }

    function tryOpen(): boolean {
        const record = options.record();
        const isPaused = clock.now() < pausedUntil || opening >= placementConstants.openingsAtOnce;
        if (record === undefined || isClosed || isPaused || open + opening >= options.limit()) {
            return false;
        }
        opening += 1;
        void openOne(record);
        return true;
    }

    async function openOne(record: EndpointRecord): Promise<void> {
        const startedAt = clock.now();
        try {
            const session = await options.open(record, placementConstants.openMilliseconds);
            opening -= 1;
            open += 1;
            failures = 0;
            metrics.countConnection();
            const pooled: PooledSession = {
                session,
                endpointStartedAt: record.startedAt,
                values: new Map(),
                prepared: new Set(),
            };
            session.onClose(() => {
                open -= 1;
                const index = idle.indexOf(pooled);
                if (index >= 0) {
                    idle.splice(index, 1);
                }
                options.onChange();
            });
            give(pooled);
        }
        catch (error) {
            opening -= 1;
            pauseAfter(record, error, clock.now() - startedAt);
        }
    }

    function pauseAfter(record: EndpointRecord, error: unknown, tookMilliseconds: number): void {
        const { kind, message } = toTypedError(error);
        failures += 1;
        metrics.countConnection(kind);
        const { firstReopenMilliseconds, greatestReopenMilliseconds, connectionLimitMilliseconds } = placementConstants;
        const pause = kind === ErrorKind.ConnectionLimitReached
            ? connectionLimitMilliseconds
            : Math.min(firstReopenMilliseconds * 2 ** (failures - 1), greatestReopenMilliseconds);
        pausedUntil = clock.now() + pause;
        log("connection was not opened", { endpoint: record.id, kind, reason: message, tookMilliseconds, pause });
        options.onChange();
        void clock.sleep(pause).then(options.onChange);
    }

    function close(): void {
        isClosed = true;
        idle.splice(0).forEach(pooled => pooled.session.close());
    }

    return {
        take,
        give,
        tryOpen,
        close,
        open: () => open,
        opening: () => opening,
        isFailing: () => failures > 0 && open === 0 && opening === 0,
    };
}
