import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createPlacement } from "../../placement/createPlacement/index.js";
import type { Placement } from "../../placement/types/Placement.js";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
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

/** How a statement of `createPaceSite` ended. */
interface StatementReport {
    readonly endpointId: string | undefined;
    readonly begunAt: number;
    /** Time until a connection was acquired, and until the answer, in milliseconds. */
    readonly waitedMilliseconds: number;
    readonly tookMilliseconds: number;
    readonly attempts: number;
    readonly code: FailureCode | undefined;
    readonly isProbe: boolean;
}

const deadlineMilliseconds = 1_000;
const retryPauseMilliseconds = 20;
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
    const hosts = Array.from({ length: options.hosts }, createHost);

    function createHost() {
        const directory = createPopulatedDirectory(clock, options.records);
        directory.applyRoutingTable({
            version: 2,
            routes: [createRoute()],
            groups: [{ group: "orders", connectionLimit: options.connectionLimit ?? 60, synchronousReplicas: 0 }],
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
            metrics: { countConnection: () => {}, registerGauge: () => {} },
            log: message => lines.push(message),
        });
        return { directory, primaries, placement };
    }

    /** Runs one statement with retries after refusals and, for reads, after failed probes. */
    async function run(placement: Placement, { needsPrimary, priority }: SiteStatement): Promise<StatementReport> {
        const begunAt = clock.now();
        const expiresAt = begunAt + deadlineMilliseconds;
        const request = {
            group: "orders",
            needsPrimary,
            priority,
            expiresAt,
            excluded: new Set<string>(),
            values: new Map(),
        };
        let report: StatementReport;
        let waitedMilliseconds = 0;
        let attempts = 0;
        do {
            const waitBeganAt = clock.now();
            const connection = await placement.acquire(request).catch(() => undefined);
            waitedMilliseconds += clock.now() - waitBeganAt;
            attempts += 1;
            const isProbe = connection?.isProbe === true;
            let code: FailureCode | undefined = FailureCode.Busy;
            if (connection !== undefined) {
                const statements = [{ kind: OutgoingKind.Forwarded, id: "1", text: "read" } as const];
                const answers = await connection.exchange(statements, 0.6 * deadlineMilliseconds).catch(() =>
                    undefined
                );
                code = answers === undefined ? FailureCode.Timeout : answers[0]!.failure?.code;
                if (code === FailureCode.Busy) {
                    placement.recordBusy(connection.endpoint);
                }
                connection.release();
            }
            report = {
                endpointId: connection?.endpoint.id,
                begunAt,
                waitedMilliseconds,
                tookMilliseconds: clock.now() - begunAt,
                attempts,
                code,
                isProbe,
            };
            if (code === FailureCode.Busy) {
                await clock.sleep(retryPauseMilliseconds * random.next());
            }
        }
        while (isRetried(report, expiresAt));
        return report;
    }

    function isRetried({ code, isProbe, endpointId }: StatementReport, expiresAt: number): boolean {
        const isRetryable = code === FailureCode.Busy || isProbe && code === FailureCode.Failed;
        return isRetryable && endpointId !== undefined && clock.now() < expiresAt;
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
                reports.push(run(host.placement, { needsPrimary, priority }));
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
