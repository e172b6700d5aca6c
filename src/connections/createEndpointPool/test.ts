import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { ConnectionFailureKind } from "../types/ConnectionFailureKind.js";
import { createEndpointPool } from "./index.js";

const clock = createSystemClock();

function createFailure(kind: ErrorKind): Error {
    return createError(kind, "The endpoint failed.", { remedy: "Wait." });
}

/** An endpoint that counts its connections and the calls on them. */
function createFakeEndpoint() {
    const state = { isReachable: true, isSilent: false, open: 0, maximumOpen: 0, resets: 0, pings: 0, opened: 0 };

    async function connect(): Promise<EndpointConnection> {
        await new Promise(resolve => setImmediate(resolve));
        if (!state.isReachable) {
            throw createFailure(ErrorKind.Unreachable);
        }
        state.opened += 1;
        state.open += 1;
        state.maximumOpen = Math.max(state.maximumOpen, state.open);
        let finish = (): void => {};
        const closed = new Promise<void>(resolve => {
            finish = resolve;
        });
        let isOpen = true;
        const connection: Partial<EndpointConnection> = {
            closed,
            close: () => {
                state.open -= isOpen ? 1 : 0;
                isOpen = false;
                finish();
            },
            reset: async () => {
                state.resets += 1;
            },
            ping: async () => {
                state.pings += 1;
                if (state.isSilent) {
                    throw createFailure(ErrorKind.DeadlineExceeded);
                }
            },
        };
        return connection as EndpointConnection;
    }

    return { state, connect };
}

function createPool(limit = 2) {
    const endpoint = createFakeEndpoint();
    const failures: ConnectionFailureKind[] = [];
    const pool = createEndpointPool({
        clock,
        endpoint: "stock-1",
        connect: endpoint.connect,
        limit: () => limit,
        warmConnections: () => 0,
        onFailure: kind => failures.push(kind),
    });
    return { ...endpoint, pool, failures };
}

/** Waits until the tasks that are ready have run. */
async function runReadyTasks(): Promise<void> {
    for (let turn = 0; turn < 10; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("a connection is reset before it is used again, and a new one is opened only when none is idle", async () => {
    const { pool, state } = createPool();
    const first = await pool.acquire(1_000);
    first.release();
    await runReadyTasks();
    const second = await pool.acquire(1_000);
    assert.equal(second.connection, first.connection);
    assert.deepEqual([state.resets, state.opened], [1, 1]);
    second.release();
    pool.close();
});

test("a discarded connection is closed at once and never reused; a second release or discard is ignored", async () => {
    const { pool, state, failures } = createPool();
    const first = await pool.acquire(1_000);
    first.discard(createFailure(ErrorKind.DeadlineExceeded));
    first.release();
    assert.equal(state.open, 0);
    const second = await pool.acquire(1_000);
    assert.notEqual(second.connection, first.connection);
    first.discard(createFailure(ErrorKind.DeadlineExceeded));
    assert.equal(second.closedSignal.aborted, false);
    assert.deepEqual(failures, [ConnectionFailureKind.AnswerTimeout]);
    second.release();
    pool.close();
});

test("after a failure idle connections must answer a ping before their next use", async () => {
    const { pool, state } = createPool(3);
    const acquired = await Promise.all([pool.acquire(1_000), pool.acquire(1_000), pool.acquire(1_000)]);
    acquired[1]!.release();
    acquired[2]!.release();
    await runReadyTasks();
    state.isSilent = true;
    acquired[0]!.discard(createFailure(ErrorKind.ConnectionClosed));
    await runReadyTasks();
    state.isSilent = false;
    const next = await pool.acquire(1_000);
    assert.ok(!acquired.some(used => used.connection === next.connection), "an unresponsive connection was used again");
    next.release();
    pool.close();
});

test("the limit is kept, a waiter gets the next free connection, and an unreachable endpoint rejects it", async () => {
    const { pool, state, failures } = createPool(1);
    const held = await pool.acquire(1_000);
    const late = await pool.acquire(5).catch(toTypedError);
    assert.ok("kind" in late && late.kind === ErrorKind.DeadlineExceeded);
    const waiting = pool.acquire(1_000);
    held.release();
    const next = await waiting;
    assert.equal(state.maximumOpen, 1);
    state.isReachable = false;
    const failing = pool.acquire(1_000).catch(toTypedError);
    next.discard(createFailure(ErrorKind.ConnectionClosed));
    const failed = await failing;
    assert.ok("kind" in failed && failed.kind === ErrorKind.Unreachable);
    assert.ok(failures.includes(ConnectionFailureKind.Unreachable));
    pool.close();
});

test("no connection is shared or lost over random uses, failures and timeouts", async () => {
    const random = createRandomSource(5);
    const { pool, state } = createPool(4);
    const inUse = new Set<EndpointConnection>();
    async function useOnce(): Promise<void> {
        const acquired = await pool.acquire(1 + random.nextInteger(20)).catch(() => undefined);
        if (acquired === undefined) {
            return;
        }
        assert.ok(!inUse.has(acquired.connection), "a connection was acquired twice at once");
        inUse.add(acquired.connection);
        await new Promise(resolve => setTimeout(resolve, random.nextInteger(3)));
        inUse.delete(acquired.connection);
        if (random.next() < 0.2) {
            acquired.discard(createFailure(ErrorKind.ConnectionClosed));
        }
        else {
            acquired.release();
        }
    }
    for (let round = 0; round < 20; round += 1) {
        await Promise.all(Array.from({ length: 20 }, useOnce));
    }
    await runReadyTasks();
    assert.ok(state.maximumOpen <= 4, `${state.maximumOpen} connections at once`);
    assert.equal(pool.gauge().inUse, 0);
    assert.equal(pool.gauge().open, state.open);
    pool.close();
    await runReadyTasks();
    assert.deepEqual([pool.gauge().open, state.open], [0, 0]);
});
