import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createOwnedEndpoint } from "../../testing/createOwnedEndpoint/index.js";
import { workspaceConstants } from "../../workspaces/constants.js";
import type { PooledSession } from "../types/PooledSession.js";
import { createEndpointSessionPool } from "./index.js";

const limit = 3;
const openMilliseconds = 12;
const owners = ["a", "b", "c", workspaceConstants.anonymousOwner];

/** Creates a pool, and functions that use it as statements do. */
function createPool() {
    const clock = createManualClock();
    const endpoint = createOwnedEndpoint(clock, openMilliseconds, 1);
    const ownersBySession = new Map<unknown, string>();
    const state = { startedAt: 1, isHolding: true, held: [] as PooledSession[] };
    const pool = createEndpointSessionPool({
        clock,
        random: createRandomSource(1),
        startedAt: clock.now(),
        open: async (record, owner, timeoutMilliseconds) => {
            const session = await endpoint.open(record, owner, timeoutMilliseconds);
            ownersBySession.set(session, owner);
            return session;
        },
        record: () => createEndpointRecord({ startedAt: state.startedAt }),
        limit: () => limit,
        sparingLimit: () => limit,
        isHolding: () => state.isHolding,
        onChange: () => {},
        metrics: { countConnection: () => {} },
        log: () => {},
    });

    function acquire(owner?: string): PooledSession | undefined {
        const pooled = pool.acquire(new Map(), owner);
        if (pooled !== undefined) {
            assert.ok(!state.held.includes(pooled), "a connection serves one statement at a time");
            assert.equal(pooled.session.isClosed, false);
            assert.equal(ownersBySession.get(pooled.session), owner ?? ownersBySession.get(pooled.session));
            state.held.push(pooled);
        }
        return pooled;
    }

    function endHeld(index: number, end: (pooled: PooledSession) => void): void {
        state.held.splice(index % Math.max(state.held.length, 1), 1).forEach(end);
    }

    return { clock, endpoint, pool, state, acquire, endHeld };
}

function createWish(choice: number) {
    return { owner: owners[choice % owners.length]!, priority: choice % 3 };
}

type Pool = ReturnType<typeof createPool>;

/** What happens to a pool, by name; the number selects the owner, the connection or the time. */
const events: Readonly<Record<string, (used: Pool, choice: number) => void>> = {
    acquire: ({ acquire }, choice) => void acquire(owners[choice % owners.length]),
    acquireAny: ({ acquire }) => void acquire(),
    open: ({ pool }, choice) => void pool.tryOpen(owners[choice % owners.length]),
    openAny: ({ pool }) => void pool.tryOpen(),
    request: ({ pool, clock }, choice) =>
        void (pool.requestOpening(createWish(choice), 0, choice % 2 === 0)
            || pool.recordWish(createWish(choice), clock.now() + 500)),
    requestAny: ({ pool }, choice) => void pool.requestOpening({ priority: -1 }, choice % 2, true),
    release: ({ pool, endHeld }, choice) => endHeld(choice, pool.release),
    discard: ({ endHeld }, choice) => endHeld(choice, pooled => pooled.session.close()),
    closeByEndpoint: ({ endpoint }, choice) => endpoint.closeAt(choice),
    restartEndpoint: ({ state }) => {
        state.startedAt += 1;
    },
    hold: ({ state, pool }, choice) => {
        state.isHolding = choice % 2 === 0;
        pool.closeUnused();
    },
    limitEndpoint: ({ endpoint }, choice) => {
        endpoint.connectionLimit = choice;
    },
};

describe("createEndpointSessionPool", () => {
    it("never serves an owner's statement on another owner's connection, whatever happens to the pool", async () => {
        const step = fc.tuple(
            fc.constantFrom(...Object.keys(events)),
            fc.nat({ max: 11 }),
            fc.constantFrom(0, 0, 1, openMilliseconds, 300, 1_200),
        );
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 80 }), async steps => {
                const used = createPool();
                for (const [event, choice, milliseconds] of steps) {
                    events[event]!(used, choice);
                    await used.clock.advance(milliseconds);
                    assert.ok(used.pool.openCount() <= limit);
                    assert.equal(used.pool.openCount(), used.endpoint.listOwners().length);
                }
            }),
            { numRuns: 150 },
        );
    });

    it("opens a connection in nobody's name for the program itself only while none is open", async () => {
        const { clock, endpoint, pool, acquire } = createPool();
        pool.tryOpen();
        await clock.advance(openMilliseconds);
        assert.deepEqual(endpoint.listOwners(), [workspaceConstants.anonymousOwner]);
        endpoint.closeAt(0);
        pool.tryOpen("a");
        await clock.advance(openMilliseconds);
        assert.notEqual(acquire(), undefined);
        assert.deepEqual(endpoint.listOwners(), ["a"]);
    });

    it("closes the next connection that is released by an owner with several, for one that found no room", async () => {
        const { clock, endpoint, pool, acquire, endHeld } = createPool();
        for (let index = 0; index < limit; index += 1) {
            pool.tryOpen("a");
            await clock.advance(openMilliseconds);
            acquire("a");
        }
        await clock.advance(1_000);
        assert.equal(pool.requestOpening({ owner: "b", priority: 0 }, 0, true), false);
        pool.recordWish({ owner: "b", priority: 0 }, clock.now() + 600);
        await clock.advance(100);
        assert.equal(acquire("b"), undefined);
        endHeld(0, pool.release);
        await clock.advance(openMilliseconds);
        assert.notEqual(acquire("b"), undefined);
        assert.deepEqual(endpoint.listOwners(), ["a", "a", "b"]);
    });
});
