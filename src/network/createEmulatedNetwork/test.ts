import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { createEndpointDriver } from "../../endpoints/createEndpointDriver/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { startEndpointGroup } from "../../standIns/endpoint/startEndpointGroup/index.js";
import { createNetworkState } from "../../standIns/platform/createNetworkState/index.js";
import { serveNetworkState } from "../../standIns/platform/serveNetworkState/index.js";
import { createEmulatedNetwork } from "./index.js";

async function start(context: TestContext) {
    const network = createNetworkState([{ from: "a", to: "b", delayMilliseconds: 3 }]);
    const server = await serveNetworkState(network, { host: "127.0.0.1", port: 0 });
    const conditions = createEmulatedNetwork({
        localZone: "b",
        processName: "entry-1",
        publisher: { host: "127.0.0.1", port: server.port() },
    });
    await conditions.start();
    context.after(async () => {
        await conditions.stop();
        await server.stop();
    });
    async function change(linkChange: Parameters<typeof network.change>[0]): Promise<void> {
        const changed = new Promise<void>(resolve => {
            const stop = conditions.onChange(() => {
                stop();
                resolve();
            });
        });
        network.change(linkChange);
        await changed;
    }
    return { conditions, server, change };
}

test("links of a process apply in addition to those of its zone, and the last state stays in force without the publisher", async context => {
    const { conditions, server, change } = await start(context);
    assert.equal(conditions.delayMillisecondsTo({ host: "127.0.0.1", port: 1, availabilityZone: "a" }), 3);
    assert.equal(conditions.linkBetween("b", "c").delayMilliseconds, 0);
    await change({ from: "b/entry-2", to: "a", isCut: true });
    assert.equal(conditions.linkBetween("b", "a").isCut, false);
    await change({ from: "b/entry-1", to: "a", isCut: true, isOneWay: true });
    assert.deepEqual(
        [conditions.linkBetween("b", "a").isCut, conditions.linkBetween("a", "b").isCut],
        [true, false],
    );
    assert.equal(conditions.linkBetween("b", "a").delayMilliseconds, 3);
    await server.stop();
    assert.equal(conditions.linkBetween("b", "a").isCut, true);
});

test("a cut link closes open connections and refuses new ones; a silenced link affects only open ones", async context => {
    const { conditions, change } = await start(context);
    const group = await startEndpointGroup();
    context.after(group.stop);
    const driver = createEndpointDriver(conditions);
    const address = group.addressOf("stock-1");
    const first = await driver.connect("stock-1", address, 1_000);
    await change({ from: "a", to: "b", isSilenced: true });
    const failure = await first.ping(50).then(() => undefined, toTypedError);
    assert.equal(failure?.kind, ErrorKind.DeadlineExceeded);
    const second = await driver.connect("stock-1", address, 1_000);
    await second.ping(1_000);
    await change({ from: "a", to: "b", isCut: true });
    await second.closed;
    const refused = await driver.connect("stock-1", address, 1_000).then(() => undefined, toTypedError);
    assert.equal(refused?.kind, ErrorKind.Unreachable);
});
