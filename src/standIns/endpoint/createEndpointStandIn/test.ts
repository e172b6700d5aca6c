import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { createEndpointDriver } from "../../../endpoints/createEndpointDriver/index.js";
import type { EndpointConnection } from "../../../endpoints/types/EndpointConnection.js";
import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../../endpoints/types/EndpointStatus.js";
import { toTypedError } from "../../../errors/toTypedError/index.js";
import { ErrorKind } from "../../../errors/types/ErrorKind.js";
import { createUnemulatedNetwork } from "../../../network/createUnemulatedNetwork/index.js";
import { startEndpointGroup } from "../startEndpointGroup/index.js";
import { LogEntryKind } from "../types/LogEntryKind.js";
import { StatementOperation } from "../types/StatementOperation.js";

const timeoutMilliseconds = 2_000;
const callDefaults = { leastPosition: 0, waitMilliseconds: 0, timeoutMilliseconds };
const add = { operation: StatementOperation.Add, register: "stock", amount: 1 };
const get = { operation: StatementOperation.Get, register: "stock" };

async function start(context: TestContext, settings: Parameters<typeof startEndpointGroup>[0] = {}) {
    const group = await startEndpointGroup(settings);
    context.after(group.stop);
    const [one, two, three] = Object.values(group.connections) as [
        EndpointConnection,
        EndpointConnection,
        EndpointConnection,
    ];
    const parts = Object.values(group.endpoints).map(endpoint => endpoint.core);
    const [coreOne, coreTwo, coreThree] = parts as [typeof parts[0], typeof parts[0], typeof parts[0]];
    return { group, one, two, three, coreOne, coreTwo, coreThree };
}

async function promote(term: number, primary: EndpointConnection, ...fenced: EndpointConnection[]): Promise<void> {
    for (const connection of [primary, ...fenced]) {
        await connection.fence(term, timeoutMilliseconds);
    }
    await primary.promote(term, timeoutMilliseconds);
}

async function waitForStatus(connection: EndpointConnection, isReached: (status: EndpointStatus) => boolean) {
    for await (const status of connection.watchStatus(AbortSignal.timeout(5_000))) {
        if (isReached(status)) {
            return status;
        }
    }
    throw new Error("the endpoint did not report the expected status within 5 s");
}

async function readRefusal(call: Promise<unknown>): Promise<unknown> {
    return call.then(() => "accepted", error => toTypedError(error).details.refusal ?? toTypedError(error).kind);
}

function write(connection: EndpointConnection, term: number, requestKey?: string, statement: unknown = add) {
    return connection.execute({ ...callDefaults, statement, isWrite: true, term, requestKey });
}

test("a fenced endpoint refuses lower terms and accepts a promotion only in the fenced term", async context => {
    const { one } = await start(context);
    assert.equal(await readRefusal(one.promote(1, timeoutMilliseconds)), EndpointRefusal.WrongTerm);
    assert.deepEqual(await one.fence(2, timeoutMilliseconds), { endpoint: "stock-1", lastEntryTerm: 0, position: 0 });
    assert.equal(await readRefusal(one.fence(1, timeoutMilliseconds)), EndpointRefusal.WrongTerm);
    assert.equal(await readRefusal(one.promote(3, timeoutMilliseconds)), EndpointRefusal.WrongTerm);
    assert.equal((await one.promote(2, timeoutMilliseconds)).role, EndpointRole.Primary);
    assert.equal((await write(one, 2)).position, 1);
    assert.equal(await readRefusal(write(one, 1)), EndpointRefusal.WrongTerm);
    await one.fence(3, timeoutMilliseconds);
    assert.equal(await readRefusal(write(one, 2)), EndpointRefusal.WrongTerm);
    assert.equal((await one.readStatus(timeoutMilliseconds)).role, EndpointRole.Detached);
});

test("a replica serves its term only once it holds the primary's whole starting log", async context => {
    const { one, two, three, coreTwo } = await start(context);
    await promote(1, one, two);
    await write(one, 1);
    await write(one, 1);
    await promote(2, one, three);
    coreTwo.switches.set({ isCutFromPeers: true });
    await two.follow(2, "stock-1", timeoutMilliseconds);
    assert.equal((await two.readStatus(timeoutMilliseconds)).term, 0);
    assert.equal(
        await readRefusal(two.execute({ ...callDefaults, statement: get, isWrite: false, term: 2 })),
        EndpointRefusal.WrongTerm,
    );
    coreTwo.switches.set({ isCutFromPeers: false });
    assert.equal((await waitForStatus(two, status => status.term === 2)).position, 2);
    const answer = await two.execute({ ...callDefaults, statement: get, isWrite: false, term: 2 });
    assert.deepEqual(answer.result, { value: 2 });
});

test("a replica refuses writes, waits for a position and refuses reads that stay behind it", async context => {
    const { one, two, coreTwo } = await start(context);
    await promote(1, one, two);
    await two.follow(1, "stock-1", timeoutMilliseconds);
    await waitForStatus(two, status => status.term === 1);
    assert.equal(await readRefusal(write(two, 1)), EndpointRefusal.NotPrimary);
    const read = { ...callDefaults, statement: get, isWrite: false, term: 1, leastPosition: 1 };
    const waiting = two.execute({ ...read, waitMilliseconds: timeoutMilliseconds });
    await write(one, 1);
    assert.deepEqual((await waiting).result, { value: 1 });
    coreTwo.switches.set({ replicationLagMilliseconds: 60_000 });
    await write(one, 1);
    const failure = await two.execute({ ...read, leastPosition: 2, waitMilliseconds: 5 }).catch(toTypedError);
    assert.equal("details" in failure && failure.details.refusal, EndpointRefusal.Behind);
    assert.equal("details" in failure && failure.details.position, 1);
});

test("a superseded primary's unconfirmed entries are truncated when it follows, and its term is refused", async context => {
    const { one, two, three } = await start(context);
    await promote(1, one, two);
    await two.follow(1, "stock-1", timeoutMilliseconds);
    await write(one, 1, "kept");
    await waitForStatus(two, status => status.position === 1);
    await two.fence(2, timeoutMilliseconds);
    await write(one, 1, "unconfirmed");
    await three.fence(2, timeoutMilliseconds);
    await two.promote(2, timeoutMilliseconds);
    await two.writeMarker(2, timeoutMilliseconds);
    await write(two, 2, "later");
    await one.follow(2, "stock-2", timeoutMilliseconds);
    await waitForStatus(one, status => status.term === 2 && status.position === 3);
    const read = await one.execute({ ...callDefaults, statement: get, isWrite: false, term: 2 });
    assert.deepEqual(read.result, { value: 2 });
    assert.equal((await one.readStatus(timeoutMilliseconds)).lastEntryTerm, 2);
    assert.equal(await readRefusal(one.follow(1, "stock-3", timeoutMilliseconds)), EndpointRefusal.WrongTerm);
});

test("a request key returns its first outcome, also after a failover and while the first write still runs", async context => {
    const { one, two, three } = await start(context);
    await promote(1, one, two);
    await two.follow(1, "stock-1", timeoutMilliseconds);
    const slow = { ...add, workMilliseconds: 30 };
    const [first, second] = await Promise.all([write(one, 1, "key", slow), write(one, 1, "key", slow)]);
    assert.deepEqual([first.position, second.position], [1, 1]);
    assert.deepEqual([first.isRepeated, second.isRepeated], [false, true]);
    await waitForStatus(two, status => status.position === 1);
    await promote(2, two, three);
    const repeated = await write(two, 2, "key");
    assert.deepEqual([repeated.isRepeated, repeated.position, repeated.result], [true, 1, { value: 1 }]);
});

test("cancelling a request key prevents its late write from running, and returns an outcome already recorded", async context => {
    const { one } = await start(context);
    await promote(1, one);
    const late = write(one, 1, "late", { ...add, workMilliseconds: 50 });
    const outcome = await one.cancelRequestKey("late", 1, timeoutMilliseconds);
    assert.deepEqual(outcome, { cancelledAt: 1 });
    assert.equal(await readRefusal(late), EndpointRefusal.Cancelled);
    assert.deepEqual(await one.cancelRequestKey("late", 1, timeoutMilliseconds), { cancelledAt: 1 });
    await write(one, 1, "done");
    const recorded = await one.cancelRequestKey("done", 1, timeoutMilliseconds);
    assert.equal("isRepeated" in recorded && recorded.isRepeated, true);
});

test("the marker is an entry of its own term without operations", async context => {
    const { one, coreOne } = await start(context);
    await promote(3, one);
    assert.equal((await one.writeMarker(3, timeoutMilliseconds)).position, 1);
    const [entry] = coreOne.log.entriesAfter(0, 1);
    assert.deepEqual([entry?.term, entry?.kind, entry?.operations], [3, LogEntryKind.Marker, []]);
});

test("a transaction's writes are atomic, isolated, and discarded on a conflict or when its connection closes", async context => {
    const { group, one } = await start(context);
    await promote(1, one);
    const driver = createEndpointDriver(createUnemulatedNetwork("a"));
    const other = await driver.connect("stock-1", group.addressOf("stock-1"), timeoutMilliseconds);
    const within = { ...callDefaults, isWrite: true, term: 1 };
    await one.begin(within);
    await one.execute({ ...within, statement: add });
    await one.execute({ ...within, statement: { operation: StatementOperation.Append, list: "log", value: "x" } });
    const outside = await other.execute({ ...callDefaults, isWrite: false, term: 1, statement: get });
    assert.deepEqual(outside.result, {});
    const committed = await one.commit("transaction", timeoutMilliseconds);
    assert.equal(committed.position, 1);
    await one.begin(within);
    await one.execute({ ...within, statement: get });
    await write(other, 1);
    assert.equal(await readRefusal(one.commit(undefined, timeoutMilliseconds)), EndpointRefusal.NoTransaction);
    await other.begin(within);
    await other.execute({ ...within, statement: add });
    other.close();
    const final = await one.execute({ ...callDefaults, isWrite: false, term: 1, statement: get });
    assert.deepEqual(final.result, { value: 2 });
});

test("connections and slots are limited", async context => {
    const { group, one, coreOne } = await start(context, { connectionLimit: 2, slots: 2, serviceMilliseconds: 1 });
    const driver = createEndpointDriver(createUnemulatedNetwork("a"));
    await promote(1, one);
    const second = await driver.connect("stock-1", group.addressOf("stock-1"), timeoutMilliseconds);
    const refused = await driver.connect("stock-1", group.addressOf("stock-1"), timeoutMilliseconds).catch(
        toTypedError,
    );
    assert.equal("kind" in refused && refused.kind, ErrorKind.ConnectionLimitReached);
    await Promise.all(Array.from({ length: 6 }, () => write(one, 1)));
    assert.deepEqual([coreOne.counters.mostSlotsInUse, coreOne.counters.mostConnections], [2, 2]);
    second.close();
    await second.closed;
});

test("a killed endpoint closes and refuses connections, and keeps its log and fenced term after a restart", async context => {
    const { group, one, coreOne } = await start(context);
    const driver = createEndpointDriver(createUnemulatedNetwork("a"));
    await promote(4, one);
    await write(one, 4);
    coreOne.switches.set({ isKilled: true });
    await one.closed;
    const refused = await driver.connect("stock-1", group.addressOf("stock-1"), timeoutMilliseconds).catch(
        toTypedError,
    );
    assert.equal("kind" in refused && refused.kind, ErrorKind.Unreachable);
    const admin = `http://127.0.0.1:${group.endpoints["stock-1"]?.adminPort()}/switches`;
    await fetch(admin, {
        method: "PATCH",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ isKilled: false }),
    });
    const restarted = await driver.connect("stock-1", group.addressOf("stock-1"), timeoutMilliseconds);
    const status = await restarted.readStatus(timeoutMilliseconds);
    assert.deepEqual([status.role, status.term, status.fencedTerm, status.position], ["Detached", 0, 4, 1]);
    restarted.close();
});

test("a frozen endpoint answers nothing, is disconnected by the heartbeat, and runs earlier calls once it resumes", async context => {
    const { one, coreOne } = await start(context);
    await promote(1, one);
    coreOne.switches.set({ isFrozen: true });
    const pending = readRefusal(write(one, 1));
    await one.closed;
    assert.equal(await pending, ErrorKind.ConnectionClosed);
    assert.equal(coreOne.log.position(), 0);
    const ran = new Promise<void>(resolve => coreOne.log.onChange(resolve));
    coreOne.switches.set({ isFrozen: false });
    await ran;
    assert.equal(coreOne.log.position(), 1);
});

test("silenced connections fail by deadline or heartbeat while new ones work; leaving is reported at once", async context => {
    const { group, one, coreOne } = await start(context);
    await promote(1, one);
    group.endpoints["stock-1"]?.silence();
    assert.equal(await readRefusal(one.ping(50)), ErrorKind.DeadlineExceeded);
    await one.closed;
    const driver = createEndpointDriver(createUnemulatedNetwork("a"));
    const newConnection = await driver.connect("stock-1", group.addressOf("stock-1"), timeoutMilliseconds);
    coreOne.switches.set({ isLeaving: true });
    assert.equal((await waitForStatus(newConnection, status => status.isLeaving)).isLeaving, true);
    await write(newConnection, 1);
    assert.equal(coreOne.counters.newWorkWhileLeaving, 1);
    newConnection.close();
});
