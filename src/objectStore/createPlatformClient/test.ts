import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createEmulatedNetwork } from "../../network/createEmulatedNetwork/index.js";
import { createPlatformStandIn } from "../../standIns/platform/createPlatformStandIn/index.js";
import { OutageKind } from "../../standIns/platform/types/OutageKind.js";
import type { PlatformSwitches } from "../../standIns/platform/types/PlatformSwitches.js";
import type { VmRecord } from "../types/VmRecord.js";
import { VmState } from "../types/VmState.js";
import { createPlatformClient } from "./index.js";

const anyPort = { host: "127.0.0.1", port: 0 };
const vm: VmRecord = {
    name: "vm-1",
    host: "127.0.0.1",
    gatewayPort: 1,
    availabilityZone: "a",
    region: "north",
    state: VmState.Live,
};

async function start(context: TestContext) {
    const platform = createPlatformStandIn({
        listen: anyPort,
        admin: anyPort,
        network: anyPort,
        links: [],
        vms: [vm],
        vmListLagMilliseconds: 60_000,
    });
    await platform.start();
    const conditions = createEmulatedNetwork({
        localZone: "b",
        processName: "test",
        publisher: { host: "127.0.0.1", port: platform.networkPort() },
    });
    await conditions.start();
    const address = { host: "127.0.0.1", port: platform.port(), availabilityZone: "a" };
    const client = createPlatformClient(address, { caller: "test", conditions, timeoutMilliseconds: 200 });
    context.after(async () => {
        await client.stop();
        await conditions.stop();
        await platform.stop();
    });
    async function set(changes: Partial<PlatformSwitches>): Promise<void> {
        await fetch(`http://127.0.0.1:${platform.adminPort()}/admin/switches`, {
            method: "PATCH",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(changes),
        });
    }
    async function changeLink(change: Parameters<typeof platform.network.change>[0]): Promise<void> {
        const changed = new Promise<void>(resolve => {
            const stop = conditions.onChange(() => {
                stop();
                resolve();
            });
        });
        platform.network.change(change);
        await changed;
    }
    return { platform, client, set, changeLink };
}

async function kindOf(call: Promise<unknown>): Promise<unknown> {
    return call.then(() => "accepted", error => toTypedError(error).kind);
}

test("objects are created once and updated only at the expected version", async context => {
    const { client } = await start(context);
    assert.equal(await client.readObject("groups/stock"), undefined);
    const created = await client.createObject("groups/stock", { term: 1 });
    assert.equal(await kindOf(client.createObject("groups/stock", { term: 9 })), ErrorKind.Conflict);
    const updated = await client.updateObject("groups/stock", { term: 2 }, created.version);
    assert.equal(await kindOf(client.updateObject("groups/stock", {}, created.version)), ErrorKind.Conflict);
    assert.deepEqual(await client.readObject("groups/stock"), updated);
    assert.equal(await kindOf(client.createObject("large", "x".repeat(1024 * 1024))), ErrorKind.InvalidRequest);
});

test("a list is sorted, limited to its prefix and continues after a key", async context => {
    const { client } = await start(context);
    for (const key of ["b/1", "a/2", "a/1", "a/3"]) {
        await client.createObject(key, key);
    }
    assert.deepEqual((await client.listObjects("a/")).map(object => object.key), ["a/1", "a/2", "a/3"]);
    assert.deepEqual((await client.listObjects("a/", "a/2")).map(object => object.key), ["a/3"]);
});

test("a write whose answer is lost has an unknown outcome and takes effect", async context => {
    const { client, set } = await start(context);
    await set({ lostAnswers: 1, lostAnswerPrefix: "groups/" });
    await client.createObject("other", 1);
    assert.equal(await kindOf(client.createObject("groups/stock", 1)), ErrorKind.OutcomeUnknown);
    assert.equal((await client.readObject("groups/stock"))?.value, 1);
});

test("during an outage calls are refused or time out, and a refused write has no effect", async context => {
    const { client, set, platform } = await start(context);
    await set({ outage: OutageKind.Refusing });
    assert.equal(await kindOf(client.createObject("x", 1)), ErrorKind.PlatformUnavailable);
    await set({ outage: OutageKind.Hanging });
    assert.equal(await kindOf(client.readObject("x")), ErrorKind.PlatformUnavailable);
    assert.equal(await kindOf(client.createObject("x", 1)), ErrorKind.OutcomeUnknown);
    await set({ outage: OutageKind.None });
    assert.equal(await client.readObject("x"), undefined);
    assert.equal(platform.core.store.read("x"), undefined);
});

test("a write that takes longer than the client's timeout still takes effect", async context => {
    const { client, set, platform } = await start(context);
    const written = new Promise<void>(resolve => platform.core.store.onChange(() => resolve()));
    await set({ slowMilliseconds: 400 });
    assert.equal(await kindOf(client.createObject("x", 1)), ErrorKind.OutcomeUnknown);
    await written;
    assert.equal(platform.core.store.read("x")?.value, 1);
});

test("a cut link makes the platform unavailable, and an unresponsive link costs one timeout", async context => {
    const { client, changeLink } = await start(context);
    await client.createObject("x", 1);
    await changeLink({ from: "a", to: "b", isCut: true });
    assert.equal(await kindOf(client.createObject("y", 1)), ErrorKind.PlatformUnavailable);
    await changeLink({ from: "a", to: "b", isCut: false, isSilenced: true });
    assert.equal(await kindOf(client.readObject("x")), ErrorKind.PlatformUnavailable);
    assert.equal((await client.readObject("x"))?.value, 1);
});

test("a watch yields objects after a key, then changes, counts as one call and fails when cut", async context => {
    const { client, platform, set } = await start(context);
    await client.createObject("v/1", 1);
    await client.createObject("v/2", 2);
    const watch = client.watchObjects("v/", AbortSignal.timeout(5_000), "v/1");
    assert.equal((await watch.next()).value?.key, "v/2");
    const next = watch.next();
    await client.createObject("w/1", 1);
    await client.createObject("v/3", 3);
    assert.equal((await next).value?.key, "v/3");
    assert.equal(platform.core.counts.list().find(count => count.kind === "Watch")?.count, 1);
    const ended = kindOf(watch.next());
    await set({ outage: OutageKind.Refusing });
    assert.equal(await ended, ErrorKind.PlatformUnavailable);
});

test("the list of VMs lags behind the VMs that were set", async context => {
    const { client, platform, set } = await start(context);
    platform.core.vms.set([vm, { ...vm, name: "vm-2" }]);
    assert.deepEqual((await client.listVms()).map(record => record.name), ["vm-1"]);
    await set({ vmListLagMilliseconds: 0 });
    assert.deepEqual((await client.listVms()).map(record => record.name), ["vm-1", "vm-2"]);
});
