import { callerSessionConstants } from "../../callerSessions/constants.js";
import { createFailure } from "../../callerSessions/createFailure/index.js";
import { createGracefulStop } from "../../callerSessions/createGracefulStop/index.js";
import { retryAttempts } from "../../callerSessions/retryAttempts/index.js";
import type { Attempt } from "../../callerSessions/types/Attempt.js";
import { AttemptKind } from "../../callerSessions/types/AttemptKind.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createMetrics } from "../../metrics/createMetrics/index.js";
import { createRetryAllowance } from "../../pace/createRetryAllowance/index.js";
import type { RetryAllowance } from "../../pace/types/RetryAllowance.js";
import { createPlacement } from "../../placement/createPlacement/index.js";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import type { Placement } from "../../placement/types/Placement.js";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { createManualClock } from "../createManualClock/index.js";
import { createPopulatedDirectory } from "../createPopulatedDirectory/index.js";
import { createRoute } from "../createRoute/index.js";
import { createSlottedEndpoint } from "../createSlottedEndpoint/index.js";

/** Options of `createPaceSite`. */
interface PaceSiteOptions {
    readonly hosts: number;
    readonly records: readonly EndpointRecord[];
    readonly workMilliseconds: number;
    /** Statements that wait at an endpoint for a slot. */
    readonly queueLength?: number;
    /** Seed of the work times and arrivals. */
    readonly seed?: number;
    /** Connections that an endpoint accepts from all hosts. */
    readonly connectionLimit?: number;
}

/** A statement of `createPaceSite`. */
interface SiteStatement {
    readonly needsPrimary: boolean;
    /** Below 0, the statement is not paced. */
    readonly priority: number;
}

/** A host of `createPaceSite`. */
interface Host {
    readonly directory: Directory;
    readonly primaries: Primaries;
    readonly placement: Placement;
    readonly retryAllowance: RetryAllowance;
}

/** How a statement of `createPaceSite` ended. */
interface StatementReport {
    readonly endpointId: string | undefined;
    readonly begunAt: number;
    /** Time until the answer, in milliseconds. */
    readonly tookMilliseconds: number;
    readonly code: FailureCode | undefined;
    /** Whether one of its attempts was a probe. */
    readonly isProbe: boolean;
}

const deadlineMilliseconds = 1_000;
const graceMilliseconds = 6_000;
const group = "orders";
/** Allows every retry. */
const unlimitedRetries: RetryAllowance = { countStatement: () => {}, waitForRetry: async () => true };
const tickMilliseconds = 2;

/**
 * Creates hosts that place statements on the same endpoints without knowing of each other, all on one manual clock.
 *
 * @param options Number of hosts, records of the endpoints with their slots, and work time in milliseconds.
 * @returns The endpoints, the hosts' directories and primaries, and functions that send statements.
 *
 * @example
 * const reports = await site.load({ perSecond: 300, milliseconds: 3_000 });
 */
export function createPaceSite(options: PaceSiteOptions) {
    const clock = createManualClock();
    const random = createRandomSource(options.seed ?? 1);
    const lines: string[] = [];
    const endpoints = new Map(options.records.map(({ id, slots }) => [
        id,
        createSlottedEndpoint({
            clock,
            random,
            slots,
            queueLength: options.queueLength ?? 0,
            workMilliseconds: options.workMilliseconds,
        }),
    ]));
    const metrics = createMetrics();
    const stop = createGracefulStop(clock, graceMilliseconds);
    const hosts = Array.from({ length: options.hosts }, createHost);

    function createHost(): Host {
        const directory = createPopulatedDirectory(clock, options.records);
        directory.applyRoutingTable({
            version: 2,
            routes: [createRoute()],
            groups: [{ group, connectionLimit: options.connectionLimit ?? 60, synchronousReplicas: 0 }],
            idleTransactionMilliseconds: 10_000,
        });
        const primaries = createPrimaries(clock, directory, () => {});
        const placement = createPlacement({
            clock,
            directory,
            primaries,
            open: async ({ id }) => endpoints.get(id)!.open(),
            vmLocation: { availabilityZone: "a", region: "north", regionsByZone: { a: "north" } },
            vmCount: () => options.hosts,
            isHolding: () => true,
            random: createRandomSource(1),
            metrics: { countConnection: () => {}, countWaitRefusal: () => {}, registerGauge: () => {} },
            log: message => lines.push(message),
        });
        return { directory, primaries, placement, retryAllowance: createRetryAllowance(clock) };
    }

    /** Runs one statement, which is retried as those of callers. */
    async function run(host: Host, { needsPrimary, priority }: SiteStatement): Promise<StatementReport> {
        const begunAt = clock.now();
        const expiresAt = begunAt + deadlineMilliseconds;
        let endpointId: string | undefined;
        let isProbe = false;
        const outcome = await retryAttempts({ group, expiresAt, attempt, onRetryable: () => {} }, {
            clock,
            random,
            metrics,
            stop,
            retryAllowance: priority < 0 ? unlimitedRetries : host.retryAllowance,
        });
        return { endpointId, isProbe, begunAt, tookMilliseconds: clock.now() - begunAt, code: outcome.failure?.code };

        async function attempt(): Promise<Attempt> {
            const { placement } = host;
            const excluded = new Set<string>();
            const request = { group, needsPrimary, priority, expiresAt, excluded, values: new Map<string, string>() };
            const connection = await placement.acquire(request).catch(() => undefined);
            if (connection === undefined) {
                return { kind: AttemptKind.Final, outcome: createFailure(FailureCode.Busy, "no connection") };
            }
            endpointId = connection.endpoint.id;
            isProbe ||= connection.isProbe === true;
            const code = await exchange(connection);
            if (code === FailureCode.Busy) {
                placement.recordBusy(connection.endpoint);
            }
            connection.release();
            const isRetried = code === FailureCode.Busy || connection.isProbe === true && code !== undefined;
            return {
                kind: isRetried ? AttemptKind.Retryable : AttemptKind.Final,
                outcome: code === undefined ? { rows: [] } : createFailure(code, code),
                hadNoSlot: code === FailureCode.Busy,
            };
        }
    }

    /** Sends a statement; returns the failure's code, or undefined after success. */
    async function exchange(connection: AcquiredConnection): Promise<FailureCode | undefined> {
        const statements = [{ kind: OutgoingKind.Forwarded, id: "1", text: "read" } as const];
        const timeoutMilliseconds = callerSessionConstants.readAttemptShare * deadlineMilliseconds;
        try {
            const [answer] = await connection.exchange(statements, timeoutMilliseconds);
            return answer!.failure?.code;
        }
        catch {
            return FailureCode.Timeout;
        }
    }

    /** Sends statements to all hosts at a rate per second for a time in milliseconds, and waits for their answers. */
    async function load(
        { perSecond, milliseconds, needsPrimary = false, priority = 0 }: Partial<SiteStatement> & {
            readonly perSecond: number;
            readonly milliseconds: number;
        },
    ): Promise<readonly StatementReport[]> {
        const reports: Promise<StatementReport>[] = [];
        for (let elapsed = 0; elapsed < milliseconds; elapsed += tickMilliseconds) {
            const expected = perSecond * tickMilliseconds / 1_000;
            const count = Math.floor(expected) + (random.next() < expected % 1 ? 1 : 0);
            for (let index = 0; index < count; index += 1) {
                const host = hosts[Math.floor(random.next() * hosts.length)]!;
                reports.push(run(host, { needsPrimary, priority }));
            }
            await clock.advance(tickMilliseconds);
        }
        const all = Promise.all(reports);
        await clock.advance(3 * deadlineMilliseconds);
        return await all;
    }

    /** Replaces an endpoint's record at all hosts. */
    function changeRecord(record: EndpointRecord): void {
        for (const { directory } of hosts) {
            const { id: name, era, revision } = record;
            directory.applyEndpoints({ isSnapshot: false, changes: [{ name, era, revision, item: record }] });
        }
    }

    return { clock, endpoints, hosts, lines, run, load, changeRecord };
}
