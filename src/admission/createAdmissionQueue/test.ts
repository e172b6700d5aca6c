import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { AdmissionClass } from "../types/AdmissionClass.js";
import type { AdmissionRequest } from "../types/AdmissionRequest.js";
import type { AdmissionSlot } from "../types/AdmissionSlot.js";
import { createAdmissionQueue } from "./index.js";

/** A clock that only the test advances; timers never elapse, and a sleep ends only when its signal is aborted. */
function createFrozenClock(): Clock & { advance(milliseconds: number): void; } {
    let now = 0;
    return {
        now: () => now,
        wallTime: () => now,
        sleep: (_milliseconds, signal) => new Promise(resolve => signal?.addEventListener("abort", () => resolve())),
        startTimer: () => () => {},
        advance: milliseconds => {
            now += milliseconds;
        },
    };
}

function createQueue(clock: Clock, changes: { slots?: number; queueLength?: number; isLimiting?: boolean; } = {}) {
    const { slots = 1, queueLength = 100, isLimiting = true } = changes;
    return createAdmissionQueue({
        clock,
        endpoint: "stock-1",
        slots: () => slots,
        queueLength: () => queueLength,
        isLimiting,
    });
}

function createRequest(caller: string, changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
    return { caller, admissionClass: AdmissionClass.Statement, timeLeftMilliseconds: 1_000, ...changes };
}

async function kindOf(acquiring: Promise<AdmissionSlot>): Promise<ErrorKind | undefined> {
    return acquiring.then(() => undefined, error => toTypedError(error).kind);
}

test("a caller with one request is served after one request of a caller with many", async () => {
    const clock = createFrozenClock();
    const queue = createQueue(clock);
    const held = await queue.acquire(createRequest("many"));
    const served: string[] = [];
    const acquire = (caller: string) =>
        queue.acquire(createRequest(caller)).then(slot => {
            served.push(caller);
            slot.release();
        });
    const waiting = [...Array.from({ length: 20 }, () => acquire("many")), acquire("single")];
    held.release();
    await Promise.all(waiting);
    assert.ok(served.indexOf("single") <= 1, `served ${served.indexOf("single")} requests first`);
});

test("a full queue drops the newest request of the caller with the most requests for a caller with none", async () => {
    const queue = createQueue(createFrozenClock(), { queueLength: 4 });
    const held = await queue.acquire(createRequest("many"));
    const many = Array.from({ length: 4 }, () => queue.acquire(createRequest("many")));
    const manyKinds = Promise.all(many.map(kindOf));
    assert.equal(await kindOf(queue.acquire(createRequest("many"))), ErrorKind.Overloaded);
    const single = queue.acquire(createRequest("single"));
    assert.equal(queue.countWaiting(), 4);
    const release = (slot: AdmissionSlot): void => slot.release();
    many.forEach(acquiring => acquiring.then(release, () => {}));
    held.release();
    await single.then(release);
    assert.deepEqual(await manyKinds, [undefined, undefined, undefined, ErrorKind.Overloaded]);
});

test("a request that cannot meet its deadline is refused at once, and a free slot is always granted", async () => {
    const clock = createFrozenClock();
    const queue = createQueue(clock);
    const first = await queue.acquire(createRequest("clover"));
    clock.advance(50);
    first.release();
    const held = await queue.acquire(createRequest("clover", { timeLeftMilliseconds: 1 }));
    assert.equal(
        await kindOf(queue.acquire(createRequest("clover", { timeLeftMilliseconds: 90 }))),
        ErrorKind.Overloaded,
    );
    const waiting = queue.acquire(createRequest("clover", { timeLeftMilliseconds: 110 }));
    clock.advance(80);
    held.release();
    assert.equal(await kindOf(waiting), ErrorKind.Overloaded);
    assert.equal(queue.countRunning(), 0);
});

test("bounded-staleness reads are served after all other requests", async () => {
    const queue = createQueue(createFrozenClock());
    const held = await queue.acquire(createRequest("clover"));
    const served: AdmissionClass[] = [];
    const acquire = (admissionClass: AdmissionClass) =>
        queue.acquire(createRequest("clover", { admissionClass })).then(slot => {
            served.push(admissionClass);
            slot.release();
        });
    const waiting = [
        acquire(AdmissionClass.BoundedStalenessRead),
        acquire(AdmissionClass.Statement),
        acquire(AdmissionClass.Statement),
    ];
    held.release();
    await Promise.all(waiting);
    assert.deepEqual(served, [AdmissionClass.Statement, AdmissionClass.Statement, AdmissionClass.BoundedStalenessRead]);
});

test("transactions leave one slot to statements, and a deferred transaction is served when another ends", async () => {
    const queue = createQueue(createFrozenClock(), { slots: 3 });
    const transaction = createRequest("clover", { admissionClass: AdmissionClass.Transaction });
    const open = [await queue.acquire(transaction), await queue.acquire(transaction)];
    const third = queue.acquire(transaction);
    const statement = await queue.acquire(createRequest("needlepoint"));
    assert.equal(queue.countRunning(), 3);
    statement.release();
    assert.equal(queue.countRunning(), 2);
    open[0]!.release();
    (await third).release();
    open[1]!.release();
    assert.deepEqual([queue.countRunning(), queue.countWaiting()], [0, 0]);
});

test("no slot is lost or granted twice when requests are cancelled or time out", async () => {
    const random = createRandomSource(11);
    const queue = createQueue(createSystemClock(), { slots: 3, queueLength: 30 });
    let held = 0;
    let maximumHeld = 0;
    async function acquireOnce(index: number): Promise<void> {
        const cancel = new AbortController();
        const classes = Object.values(AdmissionClass);
        const acquiring = queue.acquire(createRequest(`caller-${index % 5}`, {
            admissionClass: classes[random.nextInteger(classes.length)]!,
            timeLeftMilliseconds: 1 + random.nextInteger(40),
            signal: cancel.signal,
        }));
        if (random.next() < 0.3) {
            setImmediate(() => cancel.abort());
        }
        const slot = await acquiring.catch(() => undefined);
        if (slot === undefined) {
            return;
        }
        held += 1;
        maximumHeld = Math.max(maximumHeld, held);
        await new Promise(resolve => setTimeout(resolve, random.nextInteger(3)));
        held -= 1;
        slot.release();
        slot.release();
    }
    for (let round = 0; round < 10; round += 1) {
        await Promise.all(Array.from({ length: 60 }, (_, index) => acquireOnce(index)));
    }
    assert.ok(maximumHeld <= 3, `${maximumHeld} slots held at once`);
    assert.deepEqual([queue.countRunning(), queue.countWaiting()], [0, 0]);
});
