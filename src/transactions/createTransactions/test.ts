import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import type { TransactionBegin } from "../../messages/types/TransactionBegin.js";
import type { TransactionBeginReply } from "../../messages/types/TransactionBeginReply.js";
import { TransactionEndKind } from "../../messages/types/TransactionEndKind.js";
import { StatementOperation } from "../../standIns/endpoint/types/StatementOperation.js";
import { startDataPlane } from "../../testing/startDataPlane/index.js";

const caller = "clover";
const timeLeftMilliseconds = 2_000;

async function start(context: TestContext, options: Parameters<typeof startDataPlane>[0] = {}) {
    const plane = await startDataPlane(options);
    context.after(plane.stop);
    const { transactions } = plane;

    function begin(changes: Partial<TransactionBegin> = {}): Promise<TransactionBeginReply> {
        return transactions.begin({
            requestId: "request-1",
            database: "stock",
            endpoint: "stock-1",
            term: 1,
            leastPosition: 0,
            waitMilliseconds: 0,
            caller,
            timeLeftMilliseconds,
            ...changes,
        });
    }

    async function open(changes: Partial<TransactionBegin> = {}): Promise<string> {
        const reply = await begin(changes);
        assert.equal(reply.outcome, OutcomeKind.Answer);
        return (reply as { readonly transactionId: string; }).transactionId;
    }

    function add(transactionId: string, from = caller): Promise<EndpointReply> {
        const statement = { operation: StatementOperation.Add, register: "stock", amount: 1 };
        return transactions.execute({
            transactionId,
            caller: from,
            kind: RequestKind.Write,
            statement,
            timeLeftMilliseconds,
        });
    }

    function end(transactionId: string, kind = TransactionEndKind.Commit, from = caller): Promise<EndpointReply> {
        return transactions.end({ transactionId, caller: from, kind, timeLeftMilliseconds });
    }

    const one = plane.group.endpoints["stock-1"]!.core;
    return { ...plane, begin, open, add, end, one, stock: () => one.log.readRegister("stock") };
}

function reasonOf(reply: EndpointReply | TransactionBeginReply): unknown {
    return reply.outcome === OutcomeKind.NotRun ? reply.reason : reply.outcome;
}

test("a committed transaction persists, a rolled back one does not, a repeated end gets the same reply", async context => {
    const { open, add, end, stock } = await start(context);
    const committed = await open();
    await add(committed);
    await add(committed);
    assert.equal(stock(), undefined);
    const first = await end(committed);
    assert.ok(first.outcome === OutcomeKind.Answer && first.confirmedBy !== undefined);
    assert.deepEqual(await end(committed), first);
    assert.equal(stock(), 2);
    const rolledBack = await open();
    await add(rolledBack);
    assert.equal((await end(rolledBack, TransactionEndKind.Rollback)).outcome, OutcomeKind.Answer);
    assert.equal(reasonOf(await add(rolledBack)), NotRunReason.TransactionOver);
    assert.equal(stock(), 2);
});

test("only its caller can use a transaction; the commit of an unknown one has an unknown outcome", async context => {
    const { open, add, end, stock } = await start(context);
    const transactionId = await open();
    assert.equal(reasonOf(await add(transactionId, "needlepoint")), NotRunReason.Forbidden);
    assert.equal(reasonOf(await end(transactionId, TransactionEndKind.Commit, "needlepoint")), NotRunReason.Forbidden);
    assert.equal(reasonOf(await end("unknown")), OutcomeKind.OutcomeUnknown);
    assert.equal(reasonOf(await add("unknown")), NotRunReason.TransactionOver);
    await end(transactionId);
    assert.equal(stock(), undefined);
});

test("a transaction past its deadline is rolled back and releases its slot and connection", async context => {
    const { open, add, end, one, stock, events, connections, transactions } = await start(context);
    const transactionId = await open({ timeLeftMilliseconds: 60 });
    await add(transactionId);
    const rolledBack = new Promise(resolve => events.onEvent(resolve));
    assert.equal(transactions.describeWork().length, 1);
    await rolledBack;
    await transactions.stop();
    assert.equal(reasonOf(await end(transactionId)), NotRunReason.TransactionOver);
    assert.equal(stock(), undefined);
    assert.equal(one.counters.slotsInUse, 0);
    assert.ok(connections.gauges().every(gauge => gauge.inUse === 0));
});

test("a transaction ends when its endpoint is killed, and none of its writes persist", async context => {
    const { open, add, end, one, stock } = await start(context);
    const transactionId = await open();
    await add(transactionId);
    one.switches.set({ isKilled: true });
    assert.equal(reasonOf(await add(transactionId)), NotRunReason.TransactionOver);
    assert.equal(reasonOf(await end(transactionId)), NotRunReason.TransactionOver);
    one.switches.set({ isKilled: false });
    assert.equal(stock(), undefined);
});

test("a commit has an unknown outcome while no replica confirms it", async context => {
    const { open, add, end, group } = await start(context);
    const transactionId = await open();
    await add(transactionId);
    for (const name of ["stock-2", "stock-3"]) {
        group.endpoints[name]!.core.switches.set({ isCutFromPeers: true });
    }
    const ended = end(transactionId);
    assert.equal(reasonOf(await ended), OutcomeKind.OutcomeUnknown);
});

test("the outcome of a lost commit is resolved by its request key", async context => {
    const { open, add, end, group, stock } = await start(context);
    const transactionId = await open({ requestKey: "checkout-1" });
    await add(transactionId);
    group.endpoints["stock-1"]!.silence();
    const reply = await end(transactionId);
    assert.equal(reasonOf(reply), NotRunReason.Cancelled);
    assert.equal(stock(), undefined);
});

test("transactions leave one slot to single statements and never share a connection", async context => {
    const { open, begin, add, end, connections } = await start(context);
    const ids = [await open(), await open()];
    assert.equal(connections.gauges().find(gauge => gauge.endpoint === "stock-1")?.inUse, 2);
    const third = begin({ timeLeftMilliseconds: 30 });
    assert.equal(reasonOf(await third), NotRunReason.DeadlineExceeded);
    await Promise.all(ids.map(id => add(id)));
    const replies = await Promise.all(ids.map(id => end(id)));
    // Both transactions read the same register, so that the endpoint commits exactly one of them.
    const outcomes = replies.map(reply => reply.outcome).sort();
    assert.deepEqual(outcomes, [OutcomeKind.Answer, OutcomeKind.NotRun]);
});

test("a stop refuses new transactions and waits for the open ones", async context => {
    const { open, begin, add, end, transactions, stock } = await start(context);
    const transactionId = await open();
    const stopped = transactions.stop();
    assert.equal(reasonOf(await begin()), NotRunReason.Stopping);
    await add(transactionId);
    assert.equal((await end(transactionId)).outcome, OutcomeKind.Answer);
    await stopped;
    assert.equal(stock(), 1);
});
