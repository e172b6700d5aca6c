import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { startDataPlane } from "../../testing/startDataPlane/index.js";
import { createPositionReader } from "./index.js";

async function start(context: TestContext) {
    const plane = await startDataPlane();
    context.after(plane.stop);
    const reader = createPositionReader(plane);
    const read = (term: number, timeLeftMilliseconds = 2_000) =>
        reader.readPosition({ database: "stock", term, timeLeftMilliseconds });
    return { ...plane, read, core: (name: string) => plane.group.endpoints[name]!.core };
}

test("answers the primary's position while a majority is of its term, and acquires no pooled connection", async context => {
    const { read, core, connections } = await start(context);
    core("stock-3").switches.set({ isKilled: true });
    const reply = await read(1);
    assert.ok(reply.outcome === OutcomeKind.Answer);
    assert.equal(reply.position, core("stock-1").log.position());
    assert.deepEqual(connections.gauges(), []);
});

test("refuses within the time left when no majority answers, or when the primary was superseded", async context => {
    const { read, core, promote, topology } = await start(context);
    core("stock-2").switches.set({ isFrozen: true });
    core("stock-3").switches.set({ isFrozen: true });
    assert.equal((await read(1, 50)).outcome, OutcomeKind.NotRun);
    core("stock-2").switches.set({ isFrozen: false });
    core("stock-3").switches.set({ isFrozen: false });
    const markerPosition = await promote(2, "stock-2", ["stock-2", "stock-3"]);
    assert.equal((await read(1)).outcome, OutcomeKind.NotRun);
    topology.applyGroupRecord({ database: "stock", term: 2, primary: "stock-2", markerPosition });
    const stale = await read(1);
    assert.equal(stale.outcome === OutcomeKind.NotRun && stale.newerTerm, 2);
    const current = await read(2);
    assert.ok(current.outcome === OutcomeKind.Answer && current.position === markerPosition);
});
