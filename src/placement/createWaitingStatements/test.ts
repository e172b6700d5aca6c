import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { offerLoad } from "../../testing/offerLoad/index.js";
import type { LoadOutcome } from "../../testing/types/LoadOutcome.js";
import type { OfferedLoad } from "../../testing/types/OfferedLoad.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import { createWaitingStatements } from "./index.js";

/** Two connections, which serve any owner, run one statement each in 20 ms. */
const connectionCount = 2;
const ordinaryMilliseconds = 20;
const capacityPerSecond = 100;
const endpoint = createEndpointRecord({ isPrimary: true });

function createHost(seed: number) {
    const clock = createManualClock();
    const random = createRandomSource(seed);
    const lines: string[] = [];
    const state = { workMilliseconds: ordinaryMilliseconds, heldCount: 0 };
    const waiting = createWaitingStatements({
        clock,
        group: "orders",
        tryAcquire,
        countConnections: () => connectionCount,
        metrics: { countWaitRefusal: () => {} },
        log: message => lines.push(message),
    });

    function tryAcquire(request: PlacementRequest): AcquiredConnection | undefined {
        if (state.heldCount >= connectionCount) {
            return undefined;
        }
        state.heldCount += 1;
        const acquiredAt = clock.now();
        return {
            endpoint,
            isPrimary: true,
            pooled: undefined as never,
            exchange: async () => {
                await clock.sleep(state.workMilliseconds);
                return [];
            },
            release: () => {
                state.heldCount -= 1;
                waiting.recordHeld(request, true, clock.now() - acquiredAt);
                waiting.dispatch();
            },
            discard: () => {},
        };
    }

    const acquire = async (request: PlacementRequest): Promise<AcquiredConnection> =>
        (waiting.countWaiting() === 0 ? tryAcquire(request) : undefined) ?? await waiting.wait(request);
    const offer = (load: OfferedLoad) => offerLoad({ clock, random, placement: { acquire } }, load);
    return { clock, state, offer, lines };
}

function shareOf(outcomes: readonly LoadOutcome[], isCounted: (outcome: LoadOutcome) => boolean): number {
    return outcomes.filter(isCounted).length / outcomes.length;
}

const isInTime = (outcome: LoadOutcome): boolean => outcome.isInTime;

/** Plays loads to their end and returns their outcomes. */
async function play(seed: number, loads: readonly OfferedLoad[]) {
    const host = createHost(seed);
    const outcomes = Promise.all(loads.map(host.offer));
    await host.clock.advance(12_000);
    return { ...host, outcomes: await outcomes };
}

describe("createWaitingStatements", () => {
    it("serves as many statements in time at three times the capacity as at once the capacity", async () => {
        const milliseconds = 6_000;
        const load = { owner: "clover", milliseconds };
        const [once] = (await play(1, [{ ...load, operationsPerSecond: capacityPerSecond }])).outcomes;
        const [threefold] = (await play(1, [{ ...load, operationsPerSecond: 3 * capacityPerSecond }])).outcomes;
        const goodputOnce = once!.filter(isInTime).length;
        const goodput = threefold!.filter(isInTime).length;
        assert.ok(goodput >= 0.95 * goodputOnce, `${goodput} in time instead of ${goodputOnce}`);
    });

    it("keeps the others' statements in time while one workspace sends 7.5 times its share", async () => {
        const share = 0.8 * capacityPerSecond / 4;
        const quiet = ["ash", "birch", "cedar"].map(owner => ({
            owner,
            operationsPerSecond: share,
            milliseconds: 6_000,
        }));
        const greedy = { owner: "greedy", operationsPerSecond: 7.5 * share, milliseconds: 6_000 };
        for (const seed of [2, 12, 22]) {
            const alone = (await play(seed, quiet)).outcomes.flat();
            const beside = (await play(seed, [...quiet, greedy])).outcomes.slice(0, -1).flat();
            const loss = shareOf(alone, isInTime) - shareOf(beside, isInTime);
            assert.ok(loss < 0.02, `the others lose ${loss} with seed ${seed}`);
        }
    });

    it("keeps the others' statements in time during a workspace's burst of 2.4 times the capacity", async () => {
        const host = createHost(3);
        const quiet = host.offer({ owner: "ash", operationsPerSecond: 0.3 * capacityPerSecond, milliseconds: 6_000 });
        await host.clock.advance(2_000);
        void host.offer({
            owner: "greedy",
            operationsPerSecond: 2.4 * capacityPerSecond,
            milliseconds: 2_000,
        });
        await host.clock.advance(12_000);
        const share = shareOf(await quiet, isInTime);
        assert.ok(share > 0.98, `${share} in time`);
    });

    it("refuses at once what cannot be served, after the first moments of an overload", async () => {
        const { outcomes: [outcomes], lines } = await play(4, [
            { owner: "clover", operationsPerSecond: 3 * capacityPerSecond, milliseconds: 4_000 },
        ]);
        const refused = outcomes!.filter(({ startedAt, refusalCount }) => startedAt > 1_000 && refusalCount > 0);
        const late = shareOf(refused, ({ longestRefusalMilliseconds }) => longestRefusalMilliseconds > 400);
        assert.ok(refused.length > 0);
        assert.ok(late < 0.05, `${late} were refused late`);
        assert.ok(lines.filter(line => line.startsWith("statement refused at once")).length <= 6);
    });

    it("refuses nobody during a short stall of the endpoint", async () => {
        const host = createHost(5);
        const load = host.offer({ owner: "clover", operationsPerSecond: 50, milliseconds: 4_000 });
        await host.clock.advance(2_000);
        host.state.workMilliseconds = 300;
        await host.clock.advance(100);
        host.state.workMilliseconds = ordinaryMilliseconds;
        await host.clock.advance(8_000);
        const refused = shareOf(await load, ({ refusalCount }) => refusalCount > 0);
        assert.equal(refused, 0);
    });

    it("leaves less urgent statements their share while urgent ones ask for all connections", async () => {
        const { outcomes: [urgent, other] } = await play(6, [
            { owner: "ash", operationsPerSecond: 2 * capacityPerSecond, milliseconds: 4_000, priority: 0 },
            { owner: "birch", operationsPerSecond: 0.5 * capacityPerSecond, milliseconds: 4_000, priority: 2 },
        ]);
        const served = other!.filter(({ isServed }) => isServed).length;
        assert.ok(served >= 0.08 * capacityPerSecond * 4, `${served} of the less urgent statements were served`);
        assert.ok(urgent!.filter(isInTime).length >= 0.8 * capacityPerSecond * 4);
    });
});
