import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createMemoryPlatform } from "../../testing/createMemoryPlatform/index.js";
import { createTermReservation } from "./index.js";

const systemClock = createSystemClock();
/** Yields instead of sleeping, so that retries take no time. */
const clock = { ...systemClock, sleep: () => systemClock.sleep(0) };

function createHolder(platform: ReturnType<typeof createMemoryPlatform>, seed = 1) {
    const events = createEventRecorder(`gateway-${seed}`, clock);
    return createTermReservation({ platform, clock, random: createRandomSource(seed), events });
}

test("terms are allocated in order, above the given term, and none twice", async () => {
    const terms = createHolder(createMemoryPlatform());
    assert.equal(terms.allocate("stock", 0), undefined);
    await terms.reserve("stock", 4);
    assert.equal(terms.allocate("stock", 4), 5);
    assert.equal(terms.allocate("stock", 4), 6);
    assert.equal(terms.allocate("stock", 9), 10);
    assert.equal(terms.count("stock", 4), 10);
    assert.equal(terms.allocate("stock", 20), undefined);
});

test("coordinators that reserve for the same databases concurrently never hold the same term", async () => {
    const platform = createMemoryPlatform();
    const holders = [1, 2, 3, 4, 5].map(seed => createHolder(platform, seed));
    const databases = ["stock", "orders", "catalog"];
    await Promise.all(holders.flatMap(holder => databases.map(database => holder.reserve(database, 0))));
    for (const database of databases) {
        const held = holders.flatMap(holder => holder.relinquish(database));
        assert.equal(held.length, 80);
        assert.equal(new Set(held).size, 80);
    }
    assert.ok(platform.countConflicts() > 0, "the race was not exercised");
});

test("terms of an update whose answer was lost are skipped", async () => {
    const platform = createMemoryPlatform();
    platform.loseNextAnswer(ErrorKind.OutcomeUnknown);
    const first = createHolder(platform, 1);
    await first.reserve("stock", 0);
    assert.equal(first.allocate("stock", 0), 17);
    const second = createHolder(platform, 2);
    await second.reserve("stock", 0);
    assert.equal(second.allocate("stock", 0), 33);
});

test("concurrent reservations share one update", async () => {
    const platform = createMemoryPlatform();
    const terms = createHolder(platform);
    const databases = Array.from({ length: 640 }, (_, index) => `database-${index}`);
    await Promise.all(databases.map(database => terms.reserve(database, 0)));
    assert.ok(databases.every(database => terms.count(database, 0) === 16));
    assert.ok(platform.countWrites() <= 64, `${platform.countWrites()} writes`);
});

test("in an outage of the store held terms stay usable and a reservation fails with a typed error", async () => {
    const platform = createMemoryPlatform();
    const terms = createHolder(platform);
    await terms.reserve("stock", 0);
    platform.setDown(true);
    const allocatedInOutage = [1, 2, 3, 4, 5, 6, 7, 8, 9].map(() => terms.allocate("stock", 0));
    assert.deepEqual(allocatedInOutage, [1, 2, 3, 4, 5, 6, 7, 8, 9]);
    const failure = await terms.reserve("stock", 0).then(() => undefined, toTypedError);
    assert.equal(failure?.kind, ErrorKind.PlatformUnavailable);
    platform.setDown(false);
    await terms.reserve("stock", 0);
    assert.equal(terms.count("stock", 0), 23);
});

test("relinquished terms are usable by the next holder only", async () => {
    const platform = createMemoryPlatform();
    const [first, second] = [createHolder(platform, 1), createHolder(platform, 2)];
    await first.reserve("stock", 0);
    second.accept("stock", first.relinquish("stock"));
    assert.equal(first.allocate("stock", 0), undefined);
    assert.equal(second.allocate("stock", 3), 4);
});

test("an object that holds no terms is reported by an error", async () => {
    const platform = createMemoryPlatform();
    for (let bucket = 0; bucket < 64; bucket += 1) {
        await platform.createObject(`terms/${bucket}`, { stock: "many" });
    }
    const failure = await createHolder(platform).reserve("stock", 0).then(() => undefined, toTypedError);
    assert.equal(failure?.kind, ErrorKind.Unexpected);
    assert.match(failure?.message ?? "", /Restore it/);
});
