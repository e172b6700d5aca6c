import assert from "node:assert/strict";
import { test } from "node:test";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { StatementOperation } from "../../standIns/endpoint/types/StatementOperation.js";
import { startDataPlane } from "../../testing/startDataPlane/index.js";
import { createPeers } from "../../transport/createPeers/index.js";
import { createTransportServer } from "../../transport/createTransportServer/index.js";
import type { RequestsRouter } from "../types/RequestsRouter.js";
import { createRequestsRouter } from "./index.js";

const linkDelayMilliseconds = 1.5;
const request = {
    requestId: "request-1",
    database: "stock",
    endpoint: "stock-1",
    kind: RequestKind.Write,
    statement: { operation: StatementOperation.Add, register: "stock", amount: 1 },
    term: 1,
    leastPosition: 0,
    waitMilliseconds: 0,
    caller: "clover",
    timeLeftMilliseconds: 2_000,
};

test("a graceful stop completes every reply, and invalid input is refused with a typed error", async context => {
    const plane = await startDataPlane({ endpoints: { serviceMilliseconds: 20 } });
    context.after(plane.stop);
    const { events, logger, requests } = plane;
    const peerSecret = "secret";
    const router = createRequestsRouter(requests);
    const server = createTransportServer({ host: "127.0.0.1", port: 0, peerSecret, router, events, logger });
    await server.start();
    const identity = { name: "entry-1", availabilityZone: "a", peerSecret };
    const peers = createPeers(identity, createUnemulatedNetwork("a"), events);
    const gateway = { host: "127.0.0.1", port: server.port(), availabilityZone: "a" };
    const client = peers.clientOf<RequestsRouter>(gateway);
    const invalid = client.requests.execute.mutate({ ...request, term: -1 });
    assert.equal(toTypedError(await invalid.catch(error => error)).kind, ErrorKind.InvalidRequest);
    const replies = Array.from({ length: 3 }, () => client.requests.execute.mutate(request));
    while (requests.describeWork().length < replies.length) {
        await new Promise(resolve => setImmediate(resolve));
    }
    await requests.stop();
    await server.stop();
    for (const reply of await Promise.all(replies)) {
        assert.equal(reply.outcome, OutcomeKind.Answer);
    }
    await peers.stop();
});

test("entries that never pause learn of each request whether it was run when a gateway stops", async context => {
    const plane = await startDataPlane({ endpoints: { serviceMilliseconds: 2 } });
    context.after(plane.stop);
    const { events, logger, requests } = plane;
    const peerSecret = "secret";
    const router = createRequestsRouter(requests);
    const server = createTransportServer({ host: "127.0.0.1", port: 0, peerSecret, router, events, logger });
    await server.start();
    const network = {
        ...createUnemulatedNetwork("a"),
        linkBetween: () => ({ delayMilliseconds: linkDelayMilliseconds, isCut: false }),
    };
    const peers = createPeers({ name: "entry-1", availabilityZone: "a", peerSecret }, network, events);
    context.after(peers.stop);
    const gateway = { host: "127.0.0.1", port: server.port(), availabilityZone: "a" };
    const client = peers.clientOf<RequestsRouter>(gateway);
    const outcomes = new Map<string, number>();
    let isReachable = true;
    async function sendWithoutPause(): Promise<void> {
        while (isReachable) {
            const outcome = await client.requests.execute.mutate(request).then(reply => reply.outcome, error => {
                isReachable = false;
                return toTypedError(error).kind;
            });
            outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
        }
    }
    const entries = Array.from({ length: 20 }, sendWithoutPause);
    while ((outcomes.get(OutcomeKind.Answer) ?? 0) < 100) {
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    await requests.stop();
    await server.stop();
    await Promise.all(entries);
    const { [OutcomeKind.Answer]: answers = 0, ...others } = Object.fromEntries(outcomes);
    assert.ok(answers >= 100);
    assert.deepEqual(Object.keys(others).sort(), [OutcomeKind.NotRun, ErrorKind.Unreachable].sort());
});
