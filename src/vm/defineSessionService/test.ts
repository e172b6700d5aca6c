import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { memoryConstants } from "../../memory/constants.js";
import type { ByteBudget } from "../../memory/types/ByteBudget.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import { createPlatformStandIn } from "../../platform/standIns/createPlatformStandIn/index.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { startVm } from "../../testing/startVm/index.js";
import { waitUntilTrue } from "../../testing/waitUntilTrue/index.js";

const graceMilliseconds = 2_000;
const largeData = "x".repeat(1_000_000);
/** Gives the least total. */
const memory = { megabytes: 100, callerShare: 0.05, connectionBytes: 65_536 };
const totalBytes = memoryConstants.leastTotalBytes;

async function startSite() {
    const platform = await createPlatformStandIn({ group: "orders", zones: ["a", "b"], promotionMilliseconds: 60 });
    platform.configure(7, [createRoute({ database: "counter" })]);
    const vm = await startVm("vm-1", platform, { graceMilliseconds, memory });
    await waitUntilTrue("the VM is ready", vm.isReady);
    const { port } = vm.settings.callerAddress;
    const open = async () => (await createCallerStandIn(port, "counter")).caller;
    const stop = async (): Promise<void> => {
        await vm.stop();
        platform.stop();
    };
    return { platform, vm, port, open, stop };
}

/** Opens a connection that sends a text and counts the answers that it reads. */
function startPeer(port: number, text: string, isReading = true) {
    const socket = connect({ host: "127.0.0.1", port });
    let received = "";
    socket.on("error", () => socket.destroy());
    if (isReading) {
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
        });
    }
    else {
        socket.pause();
    }
    socket.write(`STARTUP counter u1\r\n${text}`, "latin1");
    return {
        received: () => received,
        countAnswers: () => received.split("READY ").length - 2,
        isClosed: () => socket.closed,
        close: () => socket.destroy(),
    };
}

function repeatStatement(count: number, text: string): string {
    return Array.from({ length: count }, (_, index) => `QUERY p${index} ${text}\r\n`).join("");
}

/** Runs statements of a sound caller, one after the other; returns those that failed and the most bytes held. */
async function runSoundCaller(site: Awaited<ReturnType<typeof startSite>>, count: number) {
    const budget = site.vm.kernel.get<ByteBudget>(ServiceName.ByteBudget);
    const caller = await site.open();
    const failures: unknown[] = [];
    let mostBytes = 0;
    for (let index = 0; index < count; index += 1) {
        const { failure, state } = await caller.run("WRITE sound one");
        if (failure !== undefined || state === undefined) {
            failures.push(failure);
        }
        mostBytes = Math.max(mostBytes, budget.heldBytes());
    }
    caller.close();
    return { failures, mostBytes };
}

describe("the callers of a VM", () => {
    let site: Awaited<ReturnType<typeof startSite>>;
    before(async () => {
        site = await startSite();
    });
    after(() => site.stop());

    it("are answered each of many statements that they send at once", async () => {
        const peer = startPeer(site.port, repeatStatement(65, "READ a"));
        await waitUntilTrue(
            "all are answered, or the connection is closed",
            () => peer.countAnswers() === 65 || peer.isClosed(),
        );
        assert.equal(peer.countAnswers(), 65);
        peer.close();
    });

    it("are served while others flood the VM with large statements", async () => {
        const text = repeatStatement(6, `WRITE flood ${largeData}`);
        const peers = Array.from({ length: 16 }, () => startPeer(site.port, text));
        const { failures, mostBytes } = await runSoundCaller(site, 100);
        assert.deepEqual(failures, []);
        assert.ok(mostBytes > totalBytes / 4, `held ${mostBytes}`);
        assert.ok(mostBytes <= totalBytes + memoryConstants.pausedReadBytes, `held ${mostBytes}`);
        await waitUntilTrue(
            "all are answered or refused",
            () => peers.every(peer => peer.countAnswers() === 6 || peer.isClosed()),
        );
        assert.ok(peers.some(peer => peer.countAnswers() === 6));
        peers.forEach(peer => peer.close());
    });

    it("are served while others send most of a message and not its end, and these are refused with a failure", async () => {
        const peers = Array.from({ length: 12 }, () => startPeer(site.port, `QUERY p WRITE flood ${largeData}`));
        await waitUntilTrue("some are refused", () => peers.some(peer => peer.isClosed()));
        assert.deepEqual((await runSoundCaller(site, 20)).failures, []);
        const refused = peers.filter(peer => peer.isClosed());
        assert.ok(refused.every(peer => /ERROR BUSY .*\r\nREADY I/.test(peer.received())));
        assert.ok(refused.length < peers.length);
        peers.forEach(peer => peer.close());
        const budget = site.vm.kernel.get<ByteBudget>(ServiceName.ByteBudget);
        await waitUntilTrue("nothing is held", () => budget.heldBytes() === 0);
    });

    it("are served while others do not take their answers", async () => {
        const writer = await site.open();
        assert.equal((await writer.run(`WRITE large ${largeData}`)).failure, undefined);
        writer.close();
        const peers = Array.from({ length: 8 }, () => startPeer(site.port, repeatStatement(40, "READ large"), false));
        const { failures, mostBytes } = await runSoundCaller(site, 100);
        assert.deepEqual(failures, []);
        assert.ok(mostBytes > largeData.length, `held ${mostBytes}`);
        assert.ok(mostBytes <= totalBytes + memoryConstants.pausedReadBytes, `held ${mostBytes}`);
        peers.forEach(peer => peer.close());
    });
});

describe("the stop of a VM", () => {
    it("answers all that a paused connection had received before it is closed", async () => {
        const { vm, port, platform } = await startSite();
        const stopped = vm.stop();
        await new Promise(resolve => setTimeout(resolve, 0.38 * graceMilliseconds));
        const peer = startPeer(port, repeatStatement(1_000, "READ a"));
        await waitUntilTrue("the connection is closed", peer.isClosed);
        assert.equal(peer.countAnswers(), 1_000);
        await stopped;
        platform.stop();
    });
});
