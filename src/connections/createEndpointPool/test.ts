import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { EndpointTroubleKind } from "../types/EndpointTroubleKind.js";
import { createEndpointPool } from "./index.js";

const clock = createSystemClock();

function createFailure(kind: ErrorKind): Error {
    return createError(kind, "The endpoint failed.", { remedy: "Wait." });
}

/** An endpoint whose connections count what happens to them. */
function createFakeEndpoint() {
    const state = { isReachable: true, isSilent: false, open: 0, most: 0, resets: 0, pings: 0, opened: 0 };

    async function connect(): Promise<EndpointConnection> {
        await new Promise(resolve => setImmediate(resolve));
        if (!state.isReachable) {
            throw createFailure(ErrorKind.Unreachable);
        }
        state.opened += 1;
        state.open += 1;
        state.most = Math.max(state.most, state.open);
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
    const troubles: EndpointTroubleKind[] = [];
    const pool = createEndpointPool({
        clock,
        endpoint: "stock-1",
        connect: endpoint.connect,
        limit: () => limit,
        warmConnections: () => 0,
        onTrouble: kind => troubles.push(kind),
    });
    return { ...endpoint, pool, troubles };
}

/** Lets all tasks that are ready run. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 10; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("a connection is reset before it is used again, and opened only when none is idle", async () => {
    const { pool, state } = createPool();
    const first = await pool.acquire(1_000);
    first.release();
    await settle();
    const second = await pool.acquire(1_000);
    assert.equal(second.connection, first.connection);
    assert.deepEqual([state.resets, state.opened], [1, 1]);
    second.release();
    pool.close();
});

test("a connection that failed is closed at once and never used again; a second end of its use has no effect", async () => {
    const { pool, state, troubles } = createPool();
    const first = await pool.acquire(1_000);
    first.discard(createFailure(ErrorKind.DeadlineExceeded));
    first.release();
    assert.equal(state.open, 0);
    const second = await pool.acquire(1_000);
    assert.notEqual(second.connection, first.connection);
    first.discard(createFailure(ErrorKind.DeadlineExceeded));
    assert.equal(second.lost.aborted, false);
    assert.deepEqual(troubles, [EndpointTroubleKind.AnswerTimeout]);
    second.release();
    pool.close();
});

test("after a failure idle connections must answer a ping before their next use", async () => {
    const { pool, state } = createPool(3);
    const leases = await Promise.all([pool.acquire(1_000), pool.acquire(1_000), pool.acquire(1_000)]);
    leases[1]!.release();
    leases[2]!.release();
    await settle();
    state.isSilent = true;
    leases[0]!.discard(createFailure(ErrorKind.ConnectionClosed));
    await settle();
    state.isSilent = false;
    const next = await pool.acquire(1_000);
    assert.ok(!leases.some(lease => lease.connection === next.connection), "a silent connection was used again");
    next.release();
    pool.close();
});

test("the limit holds, a waiter gets the next free connection, and an unreachable endpoint fails it", async () => {
    const { pool, state, troubles } = createPool(1);
    const held = await pool.acquire(1_000);
    const late = await pool.acquire(5).catch(toTypedError);
    assert.ok("kind" in late && late.kind === ErrorKind.DeadlineExceeded);
    const waiting = pool.acquire(1_000);
    held.release();
    const next = await waiting;
    assert.equal(state.most, 1);
    state.isReachable = false;
    const failing = pool.acquire(1_000).catch(toTypedError);
    next.discard(createFailure(ErrorKind.ConnectionClosed));
    const failed = await failing;
    assert.ok("kind" in failed && failed.kind === ErrorKind.Unreachable);
    assert.ok(troubles.includes(EndpointTroubleKind.Unreachable));
    pool.close();
});

test("no connection is shared or lost over random uses, failures and timeouts", async () => {
    const random = createRandomSource(5);
    const { pool, state } = createPool(4);
    const inUse = new Set<EndpointConnection>();
    async function useOnce(): Promise<void> {
        const lease = await pool.acquire(1 + random.nextInteger(20)).catch(() => undefined);
        if (lease === undefined) {
            return;
        }
        assert.ok(!inUse.has(lease.connection), "a connection was given to two uses");
        inUse.add(lease.connection);
        await new Promise(resolve => setTimeout(resolve, random.nextInteger(3)));
        inUse.delete(lease.connection);
        if (random.next() < 0.2) {
            lease.discard(createFailure(ErrorKind.ConnectionClosed));
        }
        else {
            lease.release();
        }
    }
    for (let round = 0; round < 20; round += 1) {
        await Promise.all(Array.from({ length: 20 }, useOnce));
    }
    await settle();
    assert.ok(state.most <= 4, `${state.most} connections at once`);
    assert.equal(pool.gauge().inUse, 0);
    assert.equal(pool.gauge().open, state.open);
    pool.close();
    await settle();
    assert.deepEqual([pool.gauge().open, state.open], [0, 0]);
});
