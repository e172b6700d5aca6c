import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { StatementOperation } from "../../standIns/endpoint/types/StatementOperation.js";
import { startDataPlane } from "../../testing/startDataPlane/index.js";

const add = { operation: StatementOperation.Add, register: "stock", amount: 1 };
const get = { operation: StatementOperation.Get, register: "stock" };

async function start(context: TestContext, options: Parameters<typeof startDataPlane>[0] = {}) {
    const plane = await startDataPlane(options);
    context.after(plane.stop);
    const core = (name: string) => plane.group.endpoints[name]!.core;
    return { ...plane, one: core("stock-1"), two: core("stock-2"), three: core("stock-3") };
}

function createRequest(changes: Partial<EndpointRequest> = {}): EndpointRequest {
    return {
        requestId: "request-1",
        database: "stock",
        endpoint: "stock-1",
        kind: RequestKind.Write,
        statement: changes.kind === RequestKind.Read ? get : add,
        term: 1,
        leastPosition: 0,
        waitMilliseconds: 0,
        caller: "clover",
        timeLeftMilliseconds: 2_000,
        ...changes,
    };
}

function summarize(reply: EndpointReply): unknown {
    return reply.outcome === OutcomeKind.Answer
        ? (reply.result as { readonly value: unknown; }).value
        : reply.outcome === OutcomeKind.NotRun
        ? reply.reason
        : reply.outcome;
}

test("a write is acknowledged once a replica of its term holds it, and every endpoint then returns it", async context => {
    const { requests } = await start(context);
    const written = await requests.execute(createRequest());
    assert.equal(summarize(written), 1);
    assert.ok(written.outcome === OutcomeKind.Answer && written.confirmedBy?.startsWith("stock-"));
    for (const endpoint of ["stock-1", "stock-2", "stock-3"]) {
        const read = createRequest({
            kind: RequestKind.Read,
            endpoint,
            leastPosition: written.position,
            waitMilliseconds: 1_000,
        });
        assert.equal(summarize(await requests.execute(read)), 1);
    }
});

test("neither a write nor a read is answered while no replica confirms", async context => {
    const { requests, one, two, three } = await start(context);
    await requests.execute(createRequest());
    two.switches.set({ isCutFromPeers: true });
    three.switches.set({ isCutFromPeers: true });
    const unconfirmed = await requests.execute(createRequest({ timeLeftMilliseconds: 100 }));
    assert.equal(summarize(unconfirmed), OutcomeKind.OutcomeUnknown);
    assert.equal(one.log.readRegister("stock"), 2);
    const read = createRequest({ kind: RequestKind.Read, timeLeftMilliseconds: 100 });
    assert.equal(summarize(await requests.execute(read)), OutcomeKind.OutcomeUnknown);
    const stale = await requests.execute(createRequest({
        kind: RequestKind.Read,
        endpoint: "stock-2",
        leastPosition: one.log.position(),
        waitMilliseconds: 20,
    }));
    assert.equal(summarize(stale), NotRunReason.Behind);
    assert.equal(stale.outcome === OutcomeKind.NotRun && stale.position, one.log.position() - 1);
});

test("a superseded primary acknowledges nothing, even before its gateway knows the new term", async context => {
    const { requests, promote, one, topology } = await start(context);
    await requests.execute(createRequest());
    one.switches.set({ isCutFromPeers: true });
    const markerPosition = await promote(2, "stock-2", ["stock-2", "stock-3"]);
    const write = await requests.execute(createRequest({ timeLeftMilliseconds: 300 }));
    assert.equal(summarize(write), OutcomeKind.OutcomeUnknown);
    const read = createRequest({ kind: RequestKind.Read, timeLeftMilliseconds: 300 });
    assert.equal(summarize(await requests.execute(read)), OutcomeKind.OutcomeUnknown);
    topology.applyGroupRecord({ database: "stock", term: 2, primary: "stock-2", markerPosition });
    const refused = await requests.execute(createRequest());
    assert.equal(summarize(refused), NotRunReason.WrongTerm);
    assert.equal(refused.outcome === OutcomeKind.NotRun && refused.newerTerm, 2);
    const moved = await requests.execute(createRequest({ endpoint: "stock-2", term: 2 }));
    assert.equal(summarize(moved), 2);
});

test("an endpoint of a newer term refuses a write and names that term", async context => {
    const { requests, promote } = await start(context);
    await promote(3, "stock-1");
    const refused = await requests.execute(createRequest());
    assert.equal(summarize(refused), NotRunReason.WrongTerm);
    assert.equal(refused.outcome === OutcomeKind.NotRun && refused.newerTerm, 3);
});

test("a keyed write on an unresponsive connection is retried on a new one and runs once", async context => {
    const { requests, group, one, connections } = await start(context);
    await requests.execute(createRequest());
    group.endpoints["stock-1"]!.silence();
    const reply = await requests.execute(createRequest({ requestKey: "fitment-1" }));
    assert.equal(summarize(reply), 2);
    const repeated = await requests.execute(createRequest({ requestKey: "fitment-1" }));
    assert.equal(summarize(repeated), 2);
    assert.equal(one.log.readRegister("stock"), 2);
    assert.ok(connections.gauges().every(gauge => gauge.open <= gauge.limit));
});

test("a write without a key is sent once, and its outcome is unknown when the answer was lost", async context => {
    const { requests, group, one } = await start(context);
    await requests.execute(createRequest());
    const before = one.counters.statements;
    one.switches.set({ serviceMilliseconds: 300 });
    const reply = await requests.execute(createRequest({ timeLeftMilliseconds: 60 }));
    assert.equal(summarize(reply), OutcomeKind.OutcomeUnknown);
    one.switches.set({ serviceMilliseconds: 0 });
    await requests.execute(createRequest({ kind: RequestKind.Read }));
    while (one.counters.slotsInUse > 0) {
        await group.connections["stock-1"]!.ping(1_000);
    }
    assert.equal(one.counters.statements, before + 2);
});

test("a late answer is never returned to another request", async context => {
    const { requests, one } = await start(context);
    const slow = { ...get, register: "slow", workMilliseconds: 150 };
    one.switches.set({ serviceMilliseconds: 0 });
    for (let round = 0; round < 20; round += 1) {
        const lost = requests.execute(
            createRequest({ kind: RequestKind.Read, statement: slow, timeLeftMilliseconds: 20 }),
        );
        const key = `round-${round}`;
        const own = requests.execute(createRequest({
            statement: { operation: StatementOperation.Set, register: "own", value: key },
            requestKey: key,
        }));
        assert.equal(summarize(await lost), OutcomeKind.OutcomeUnknown);
        assert.equal((await own).outcome, OutcomeKind.Answer);
        const read = { operation: StatementOperation.Get, register: "own" };
        const reply = await requests.execute(createRequest({ kind: RequestKind.Read, statement: read }));
        assert.equal(summarize(reply), key);
    }
});

test("a cancelled request key never runs, and a look-up of a key that ran returns its recorded outcome", async context => {
    const { requests, one, two, three } = await start(context);
    const lookUp = { ...createRequest(), requestKey: "checkout-1" };
    assert.equal(summarize(await requests.lookUpRequestKey(lookUp)), NotRunReason.Cancelled);
    const late = await requests.execute(createRequest({ requestKey: "checkout-1" }));
    assert.equal(summarize(late), NotRunReason.Cancelled);
    assert.equal(one.log.readRegister("stock"), undefined);
    await requests.execute(createRequest({ requestKey: "checkout-2" }));
    await requests.execute(createRequest());
    assert.equal(summarize(await requests.lookUpRequestKey({ ...lookUp, requestKey: "checkout-2" })), 1);
    two.switches.set({ isCutFromPeers: true });
    three.switches.set({ isCutFromPeers: true });
    const unconfirmedLookUp = { ...lookUp, requestKey: "checkout-3", timeLeftMilliseconds: 100 };
    assert.equal(summarize(await requests.lookUpRequestKey(unconfirmedLookUp)), OutcomeKind.OutcomeUnknown);
});

test("a leaving replica gets no new work, a leaving primary only until another primary replaces it", async context => {
    const { requests, topology, one, two, promote } = await start(context);
    topology.setLeaving("stock-1");
    topology.setLeaving("stock-2");
    const read = createRequest({ kind: RequestKind.Read, endpoint: "stock-2" });
    assert.equal(summarize(await requests.execute(read)), NotRunReason.Leaving);
    assert.equal(two.counters.statements, 0);
    assert.equal(summarize(await requests.execute(createRequest())), 1);
    const markerPosition = await promote(2, "stock-3");
    topology.applyGroupRecord({ database: "stock", term: 2, primary: "stock-3", markerPosition });
    const late = await requests.execute(createRequest({ term: 2, kind: RequestKind.Read }));
    assert.equal(summarize(late), NotRunReason.Leaving);
    assert.equal(one.counters.statements, 1);
});

test("a stop finishes requests with a slot and refuses waiting and later requests", async context => {
    const { requests, one } = await start(context, { endpoints: { serviceMilliseconds: 30 } });
    const running = Array.from({ length: 6 }, () => requests.execute(createRequest()));
    const stopped = requests.stop();
    assert.equal(requests.describeWork().length, 6);
    assert.equal(summarize(await requests.execute(createRequest())), NotRunReason.Stopping);
    await stopped;
    const outcomes = (await Promise.all(running)).map(summarize);
    assert.deepEqual(outcomes.slice(3), Array.from({ length: 3 }, () => NotRunReason.Stopping));
    assert.deepEqual(outcomes.slice(0, 3).sort(), [1, 2, 3]);
    assert.equal(one.log.readRegister("stock"), 3);
});

test("a request without a connection is not run, and the limits of slots and connections are kept", async context => {
    const { requests, one, connections } = await start(context, {
        endpoints: { serviceMilliseconds: 2, connectionLimit: 6 },
    });
    const replies = await Promise.all(
        Array.from({ length: 60 }, (_, index) => requests.execute(createRequest({ requestKey: `key-${index}` }))),
    );
    const answered = replies.filter(reply => reply.outcome === OutcomeKind.Answer).length;
    assert.ok(replies.every(reply => reply.outcome !== OutcomeKind.OutcomeUnknown));
    assert.equal(one.log.readRegister("stock"), answered);
    assert.ok(one.counters.mostSlotsInUse <= 3);
    assert.ok(connections.gauges().every(gauge => gauge.open <= 4));
    assert.equal(one.counters.refusedConnections, 0);
});
