import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { checkHistory } from "../../history/checkHistory/index.js";
import { createHistory } from "../../history/createHistory/index.js";
import { OperationKind } from "../../history/types/OperationKind.js";
import { ViolationKind } from "../../history/types/ViolationKind.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createCallerClient } from "../createCallerClient/index.js";
import { readProxyState } from "../readProxyState/index.js";
import { summarizeLoad } from "../summarizeLoad/index.js";
import type { LoadPlan } from "../types/LoadPlan.js";
import type { LoadServices } from "../types/LoadServices.js";
import { runLoad } from "./index.js";

type Body = { readonly kind?: string; readonly statement?: Statement; readonly requestKey?: string; };
type Statement = {
    readonly operation: string;
    readonly list: string;
    readonly value: string;
    readonly statements: Statement[];
};
type Fault = (count: number) => boolean;

interface FakeEntryOptions {
    readonly loses?: Fault;
    readonly doubles?: Fault;
    readonly hidesOutcome?: Fault;
    readonly answersStale?: Fault;
}

const lists = new Map<string, string[]>();
const servedBy = { endpoint: "stock-1", role: "Replica", term: 1, position: 1 };

/** Answers callers from one list store, and violates a guarantee at the chosen requests. */
function createFakeEntry(options: FakeEntryOptions): RequestListener {
    const outcomes = new Map<string, unknown>();
    const transactions = new Map<string, { key?: string; statements: Statement[]; }>();
    let writes = 0;
    let reads = 0;

    function append(statement: Statement): void {
        const values = lists.get(statement.list) ?? [];
        lists.set(statement.list, [...values, statement.value]);
    }

    function run(statement: Statement): unknown {
        if (statement.operation === "Batch") {
            return { results: statement.statements.map(run) };
        }
        if (statement.operation === "Append") {
            append(statement);
            return {};
        }
        const values = lists.get(statement.list) ?? [];
        return { values: options.answersStale?.(reads) === true ? values.slice(0, -1) : values };
    }

    function write(statement: Statement, key?: string): object {
        writes += 1;
        if (options.loses?.(writes) !== true) {
            run(statement);
        }
        if (options.doubles?.(writes) === true) {
            run(statement);
        }
        const answer = { outcome: "Answer", result: {}, sessionToken: "token", servedBy };
        outcomes.set(key ?? "", answer);
        return options.hidesOutcome?.(writes) === true ? { outcome: "OutcomeUnknown" } : answer;
    }

    const routes: Readonly<Record<string, (body: Body & Record<string, string>) => object>> = {
        "/v1/databases/stock/statements": body => {
            if (body.kind === "Write") {
                return write(body.statement as Statement, body.requestKey);
            }
            reads += 1;
            return { outcome: "Answer", result: run(body.statement as Statement), sessionToken: "token", servedBy };
        },
        "/v1/databases/stock/transactions": body => {
            const transactionHandle = `transaction-${transactions.size}`;
            transactions.set(transactionHandle, { key: body.requestKey, statements: [] });
            return { outcome: "Answer", transactionHandle };
        },
        "/v1/transactions/statements": body => {
            transactions.get(body.transactionHandle as string)?.statements.push(body.statement as Statement);
            return { outcome: "Answer", result: {} };
        },
        "/v1/transactions/end": body => {
            const { key, statements = [] } = transactions.get(body.transactionHandle as string) ?? {};
            const batch = { operation: "Batch", statements } as unknown as Statement;
            return body.kind === "Commit" ? write(batch, key) : { outcome: "Answer" };
        },
        "/v1/databases/stock/request-keys/lookup": body =>
            (outcomes.get(body.requestKey ?? "") ?? { outcome: "NotRun", reason: "Cancelled" }) as object,
    };
    return (request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", chunk => chunks.push(chunk as Buffer));
        request.on("end", () => {
            const answer = routes[request.url ?? ""]?.(JSON.parse(Buffer.concat(chunks).toString()) as never);
            response.end(JSON.stringify(answer ?? { outcome: "NotRun", reason: "InvalidRequest" }));
        });
    };
}

const plan: LoadPlan = {
    seed: 7,
    sessionCount: 4,
    durationMilliseconds: 300,
    writeShare: 0.5,
    transactionShare: 0.5,
    keylessShare: 0.2,
    agedShare: 0.1,
    maximumAgeMilliseconds: 1_000,
    lostTokenShare: 0.1,
    roamShare: 0.2,
    listCount: 3,
    deadlineMilliseconds: 1_000,
    pauseMilliseconds: 1,
    callerDelayMilliseconds: 0,
};

const minimumOperations = 300;

async function offerLoad(options: FakeEntryOptions) {
    lists.clear();
    const listener = createFakeEntry(options);
    const servers = [createServer(listener), createServer(listener)];
    servers.forEach(server => server.listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const entries = servers.map((server, index) => ({
        name: `entry-${index}`,
        host: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
        region: "ga-north",
        availabilityZone: "ga-north-1",
    }));
    const clock = createSystemClock();
    const client = createCallerClient({ clock, callerDelayMilliseconds: 0 });
    const services: LoadServices = {
        client,
        clock,
        history: createHistory(),
        plan,
        random: createRandomSource(plan.seed),
        runName: "run-1",
        target: { entries, callers: [{ name: "dealer", key: "key" }], databases: ["stock"] },
    };
    try {
        const run = await runLoad(services, {
            causeFaults: async (recordFault, operations) => {
                recordFault({ text: "nothing", database: "stock" });
                while (operations.length < minimumOperations) {
                    await clock.sleep(5);
                }
            },
        });
        const proxyState = await readProxyState(services, "stock");
        const endState = { database: "stock", source: "the store", lists: new Map(lists) };
        return { run, summary: summarizeLoad(run), verdict: checkHistory(run.operations, [endState, proxyState]) };
    }
    finally {
        await client.stop();
        servers.forEach(server => server.closeAllConnections());
        servers.forEach(server => server.close());
    }
}

test("load on an entry that keeps all guarantees has a sound history", async () => {
    const { run, summary, verdict } = await offerLoad({});
    assert.deepEqual(verdict.violations, []);
    assert.ok(verdict.acknowledgedWriteCount > 0 && verdict.answeredReadCount > 0);
    assert.equal(summary.replicaShare, 1);
    assert.equal(summary.operationCount, run.operations.length);
    assert.ok(summary.writeGaps.some(gap => gap.fault === "nothing" && gap.milliseconds > 0));
    assert.ok(run.operations.some(operation => operation.kind === OperationKind.AppendPair));
});

test("an unknown outcome is resolved by its request key", async () => {
    const { summary, verdict } = await offerLoad({ hidesOutcome: count => count % 4 === 0 });
    assert.deepEqual(verdict.violations, []);
    assert.ok((summary.countByOutcome["Answer"] ?? 0) > verdict.unknownOutcomeCount);
});

const violations: readonly [string, FakeEntryOptions, ViolationKind][] = [
    ["loses a write", { loses: count => count === 5 }, ViolationKind.LostWrite],
    ["runs a write twice", { doubles: count => count === 5 }, ViolationKind.DoubledWrite],
    ["answers stale reads", { answersStale: count => count % 3 === 0 }, ViolationKind.StaleRead],
];

for (const [name, options, kind] of violations) {
    test(`an entry that ${name} is detected`, async () => {
        const { verdict } = await offerLoad(options);
        assert.ok(verdict.countByKind[kind] !== undefined, JSON.stringify(verdict.countByKind));
    });
}
