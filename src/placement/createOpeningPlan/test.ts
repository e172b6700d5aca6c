import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createOwnedEndpoint } from "../../testing/createOwnedEndpoint/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { workspaceConstants } from "../../workspaces/constants.js";
import { placementConstants } from "../constants.js";
import { createPlacement } from "../createPlacement/index.js";
import type { EndpointSessionPool } from "../types/EndpointSessionPool.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";
import { createOpeningPlan } from "./index.js";

const openMilliseconds = 12;
const workMilliseconds = 20;
const timeoutMilliseconds = 600;
const refused = "refused";

/** Creates the placement of a VM that may hold a number of connections to the primary, with workspaces. */
function createSite(limit: number) {
    const clock = createManualClock();
    const directory = createPopulatedDirectory(clock, [createEndpointRecord({ isPrimary: true })]);
    directory.applyRoutingTable({
        ...directory.routingTable()!,
        version: 2,
        groups: [{ group: "orders", connectionLimit: limit * 10, synchronousReplicas: 0 }],
        workspaces: [{ name: "a", keyDigests: [], priority: 1 }],
    });
    const endpoint = createOwnedEndpoint(clock, openMilliseconds, workMilliseconds);
    const counts = { evictions: 0, openingWaits: 0, lines: 0 };
    const placement = createPlacement({
        clock,
        random: createRandomSource(1),
        directory,
        primaries: createPrimaries(clock, directory, () => {}),
        open: endpoint.open,
        vmLocation: { availabilityZone: "a", region: "north", regionsByZone: { a: "north" } },
        vmCount: () => 9,
        isHolding: () => true,
        metrics: {
            countConnection: () => {},
            countWaitRefusal: () => {},
            countEviction: () => counts.evictions += 1,
            countOpeningWait: () => counts.openingWaits += 1,
            registerGauge: () => {},
        },
        log: message => {
            counts.lines += message.includes("make room") ? 1 : 0;
        },
    });

    /** Runs one statement of an owner; returns the owner of the connection, or "refused". */
    async function run(owner: string): Promise<string> {
        const expiresAt = clock.now() + timeoutMilliseconds;
        const request = { group: "orders", needsPrimary: true, priority: 1, excluded: new Set<string>(), owner };
        try {
            const connection = await placement.acquire({ ...request, expiresAt, values: new Map() });
            const [answer] = await connection.exchange([{ kind: OutgoingKind.Rollback }], 1_000);
            connection.release();
            return answer!.signature!;
        }
        catch {
            return refused;
        }
    }

    /** Runs statements of an owner one after the other, until a time on the clock. */
    async function runUntil(endsAt: number, owner: string, pauseMilliseconds: number): Promise<string[]> {
        const answers: string[] = [];
        while (clock.now() < endsAt) {
            answers.push(await run(owner));
            await clock.sleep(pauseMilliseconds);
        }
        return answers;
    }

    return { clock, endpoint, counts, run, runUntil };
}

/** Creates targets whose pools record what is asked of them and open as many connections as given, by target. */
function createTargets(roomByTarget: readonly number[]) {
    const asked: string[] = [];
    const targets = roomByTarget.map((room, index) => {
        const pool: Partial<EndpointSessionPool> = {
            openCount: () => 0,
            requestOpening: ({ owner }, expectedCount, mayReplace) => {
                asked.push(`${owner} at ${index}${mayReplace ? "" : ", in free room"}`);
                return expectedCount < room;
            },
            recordWish: ({ owner }) => asked.push(`${owner} waits at ${index}`),
        };
        return { pool } as PlacementTarget;
    });
    return { asked, targets };
}

describe("createOpeningPlan", () => {
    const { anonymousOwner } = workspaceConstants;
    const request = { priority: 1, expiresAt: 600 };

    it("opens one connection for a statement of a workspace, at the first endpoint that allows it", () => {
        const { asked, targets } = createTargets([0, 1, 1]);
        const plan = createOpeningPlan();
        plan.add({ ...request, owner: "a" }, targets, false);
        plan.start();
        assert.deepEqual(asked, ["a at 0", "a at 1"]);
    });

    it("opens one at each endpoint for others, and evicts for the first alone", () => {
        const { asked, targets } = createTargets([1, 1]);
        const plan = createOpeningPlan();
        plan.add({ ...request, owner: anonymousOwner }, targets, false);
        plan.start();
        assert.deepEqual(asked, [`${anonymousOwner} at 0`, `${anonymousOwner} at 1, in free room`]);
    });

    it("evicts nothing for a statement that is served, and asks for urgent statements first", () => {
        const { asked, targets } = createTargets([0]);
        const plan = createOpeningPlan();
        plan.add({ ...request, owner: "a" }, targets, true);
        plan.add({ ...request, owner: "b", priority: 0 }, targets, false);
        plan.start();
        assert.deepEqual(asked, ["b at 0", "b waits at 0", "a at 0, in free room"]);
    });
});

describe("connections of several owners", () => {
    it("serves small workspaces in time while a large one has more statements than there are connections", async () => {
        const { clock, endpoint, counts, runUntil } = createSite(6);
        const endsAt = 10_000;
        const large = Array.from({ length: 16 }, () => runUntil(endsAt, "large", 0));
        await clock.advance(1_000);
        assert.equal(new Set(endpoint.listOwners()).size, 1);
        const names = Array.from({ length: 8 }, (_, index) => `small-${index}`);
        const small = names.map((name, index) => runUntil(endsAt, name, 300 + 50 * index));
        await clock.advance(endsAt);
        for (const [index, answers] of (await Promise.all(small)).entries()) {
            assert.deepEqual(new Set(answers), new Set([names[index]]));
        }
        const largeAnswers = (await Promise.all(large)).flat();
        assert.ok(largeAnswers.every(answer => answer === "large" || answer === refused));
        assert.ok(largeAnswers.filter(answer => answer === "large").length >= 400);
        const { evictionAheadMilliseconds, evictionIntervalMilliseconds } = placementConstants;
        const maximumEvictions = 1 + (9_000 + evictionAheadMilliseconds) / evictionIntervalMilliseconds;
        assert.ok(counts.evictions <= maximumEvictions, `${counts.evictions}`);
        assert.ok(counts.lines <= 10, `${counts.lines} lines`);
        assert.ok(counts.openingWaits > 0);
    });

    it("serves two workspaces with one connection by turns, and evicts neither before its time", async () => {
        const { clock, counts, runUntil } = createSite(1);
        const endsAt = 5_000;
        const running = ["a", "b"].map(owner => runUntil(endsAt, owner, 0));
        await clock.advance(2 * endsAt);
        const [first, second] = await Promise.all(running);
        assert.deepEqual(new Set(first), new Set(["a"]));
        assert.deepEqual(new Set(second), new Set(["b"]));
        assert.ok(counts.evictions <= endsAt / placementConstants.minimumResidenceMilliseconds, `${counts.evictions}`);
    });

    it("replaces its own connections while the endpoint refuses more, and does not ask again and again", async () => {
        const { clock, endpoint, run, runUntil } = createSite(6);
        void runUntil(8_000, "large", 0);
        void runUntil(8_000, "large", 0);
        await clock.advance(1_000);
        endpoint.connectionLimit = endpoint.listOwners().length;
        const attemptsBefore = endpoint.attemptCount();
        const small = run("small");
        await clock.advance(timeoutMilliseconds);
        assert.equal(await small, "small");
        void Promise.all(Array.from({ length: 8 }, () => runUntil(4_000, "large", 0)));
        await clock.advance(2_000);
        const attemptCount = endpoint.attemptCount() - attemptsBefore;
        assert.ok(attemptCount <= 4, `${attemptCount} attempts`);
        await clock.advance(8_000);
    });
});
