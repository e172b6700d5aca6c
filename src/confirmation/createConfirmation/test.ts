import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import { startDataPlane } from "../../testing/startDataPlane/index.js";
import { isConfirmed } from "../isConfirmed/index.js";
import { isSuperseded } from "../isSuperseded/index.js";
import { ConfirmationOutcome } from "../types/ConfirmationOutcome.js";

function createStatus(endpoint: string, role: EndpointRole, term: number, position: number): EndpointStatus {
    const lastEntryTerm = term;
    return { endpoint, database: "stock", role, term, fencedTerm: term, position, lastEntryTerm, isLeaving: false };
}

const primary = createStatus("stock-1", EndpointRole.Primary, 4, 10);

test("only a replica of exactly that term confirms a position", () => {
    const rule = { term: 4, position: 10, endpointCount: 3 };
    const replica = createStatus("stock-2", EndpointRole.Replica, 4, 10);
    assert.equal(isConfirmed([primary, replica], rule), true);
    assert.equal(isConfirmed([primary], rule), false);
    assert.equal(isConfirmed([primary, { ...replica, position: 9 }], rule), false);
    for (const term of [0, 3, 5]) {
        assert.equal(isConfirmed([primary, { ...replica, term, position: 99 }], rule), false);
    }
    assert.equal(isConfirmed([primary, { ...replica, role: EndpointRole.Detached }], rule), false);
    assert.equal(isConfirmed([primary, replica], { ...rule, endpointCount: 5 }), false);
    assert.equal(isConfirmed([primary], { ...rule, endpointCount: 1 }), true);
});

test("a term is superseded when a higher one is served or a majority is fenced, not when one endpoint is", () => {
    const fenced = (endpoint: string) => ({
        ...createStatus(endpoint, EndpointRole.Detached, 0, 10),
        fencedTerm: 5,
    });
    assert.equal(isSuperseded([primary, fenced("stock-2")], 4, 3), false);
    assert.equal(isSuperseded([primary, fenced("stock-2"), fenced("stock-3")], 4, 3), true);
    assert.equal(isSuperseded([primary, createStatus("stock-2", EndpointRole.Primary, 5, 11)], 4, 3), true);
    assert.equal(isSuperseded([primary, fenced("stock-2"), fenced("stock-3")], 5, 3), false);
});

async function start(context: TestContext) {
    const plane = await startDataPlane();
    context.after(plane.stop);
    const core = (name: string) => plane.group.endpoints[name]!.core;
    const wait = (term: number, position: number, timeoutMilliseconds = 2_000) =>
        plane.confirmation.waitUntilConfirmed("stock", term, position, timeoutMilliseconds);
    return { ...plane, core, wait };
}

test("waits end as confirmed, superseded or timed out", async context => {
    const { core, wait, promote, topology } = await start(context);
    assert.equal((await wait(1, 1)).outcome, ConfirmationOutcome.Confirmed);
    assert.equal((await wait(1, 2, 20)).outcome, ConfirmationOutcome.TimedOut);
    const pending = wait(1, 2);
    const markerPosition = await promote(2, "stock-2");
    assert.equal((await pending).outcome, ConfirmationOutcome.Superseded);
    topology.applyGroupRecord({ database: "stock", term: 2, primary: "stock-2", markerPosition });
    assert.equal((await wait(1, 1)).outcome, ConfirmationOutcome.Superseded);
    assert.equal((await wait(2, markerPosition)).outcome, ConfirmationOutcome.Confirmed);
    assert.equal(core("stock-2").log.position(), 2);
});

test("an older position counts as confirmed only with the marker of the term", async context => {
    const { core, wait, promote, topology } = await start(context);
    for (const name of ["stock-1", "stock-3"]) {
        core(name).switches.set({ isCutFromPeers: true });
    }
    const markerPosition = await promote(2, "stock-2");
    topology.applyGroupRecord({ database: "stock", term: 2, primary: "stock-2", markerPosition });
    assert.equal((await wait(2, 1, 50)).outcome, ConfirmationOutcome.TimedOut);
    core("stock-3").switches.set({ isCutFromPeers: false });
    const confirmed = await wait(2, 1);
    assert.deepEqual(confirmed, { outcome: ConfirmationOutcome.Confirmed, confirmedBy: "stock-3" });
});

test("a watch that became unresponsive is opened again and confirms positions", async context => {
    const { group, wait } = await start(context);
    assert.equal((await wait(1, 1)).outcome, ConfirmationOutcome.Confirmed);
    for (const name of ["stock-2", "stock-3"]) {
        group.endpoints[name]!.silence();
    }
    const pending = wait(1, 2, 10_000);
    await group.connections["stock-1"]!.writeMarker(1, 1_000);
    assert.equal((await pending).outcome, ConfirmationOutcome.Confirmed);
});
