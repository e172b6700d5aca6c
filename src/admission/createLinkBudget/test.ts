import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { LinkPriority } from "../types/LinkPriority.js";
import { createLinkBudget } from "./index.js";

function createBudget(bytesPerSecond: number, clock: Clock = createSystemClock()) {
    return createLinkBudget({ clock, link: "north>south", bytesPerSecond: () => bytesPerSecond });
}

test("control messages are sent at once, then writes, then reads", async () => {
    const clock = createManualClock();
    const budget = createBudget(100_000, clock);
    const sent: string[] = [];
    const send = (name: string, priority: LinkPriority) =>
        budget.reserve(priority, 2_000, 10_000).then(() => sent.push(name));
    await budget.reserve(LinkPriority.Read, 12_000, 10_000);
    const sending = [
        send("read", LinkPriority.Read),
        send("write", LinkPriority.Write),
        send("control", LinkPriority.Control),
        send("second write", LinkPriority.Write),
    ];
    assert.equal(budget.countWaitingBytes(), 6_000);
    await clock.advance(0);
    assert.deepEqual(sent, ["control"]);
    await clock.advance(1_000);
    await Promise.all(sending);
    assert.deepEqual(sent, ["control", "write", "second write", "read"]);
});

test("bytes that cannot be sent before their deadline are refused at once", async () => {
    const budget = createBudget(1_000);
    await budget.reserve(LinkPriority.Write, 10_000, 0);
    const refused = await budget.reserve(LinkPriority.Read, 100, 500).catch(toTypedError);
    assert.equal(refused?.kind, ErrorKind.Overloaded);
    budget.adjust(-10_000);
    await budget.reserve(LinkPriority.Read, 100, 500);
});

test("no more bytes are sent than the burst and the rate allow", async () => {
    const budget = createBudget(1_000_000);
    const startedAt = performance.now();
    let sent = 0;
    await Promise.all(Array.from({ length: 100 }, async () => {
        await budget.reserve(LinkPriority.Read, 3_000, 10_000);
        sent += 3_000;
        const allowed = 100_000 + (performance.now() - startedAt) * 1_000;
        assert.ok(sent <= allowed + 3_000, `${sent} bytes sent, ${allowed} allowed`);
    }));
});
