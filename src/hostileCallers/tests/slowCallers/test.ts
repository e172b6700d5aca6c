import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { createCallerStandIn } from "../../../platform/standIns/createCallerStandIn/index.js";
import { hostileCallerConstants } from "../../constants.js";
import { playCrowd } from "../../playCrowd/index.js";
import type { HostileSite } from "../../types/HostileSite.js";
import { waitForRelease } from "../../waitForRelease/index.js";

const { crowdSize, releaseTimeoutMilliseconds } = hostileCallerConstants;
const halfMessageBytes = 40_000;
const dripMilliseconds = 100;
const itemBytes = 900_000;

/** Sends a text again and again until the connection ends. */
function repeat(socket: Socket, text: string): void {
    const timer = setInterval(() => {
        if (socket.writable) {
            socket.write(text);
        }
    }, dripMilliseconds);
    socket.once("close", () => clearInterval(timer));
}

async function writeItem({ vm }: HostileSite): Promise<void> {
    const { host, port } = vm.callerAddress;
    const { caller } = await createCallerStandIn(port, "shop", host);
    const answer = await caller.run(`WRITE large ${"y".repeat(itemBytes)}`);
    caller.close();
    assert.equal(answer.failure, undefined);
}

describe("clients that are very slow or stop half-way", () => {
    it("hostile: a crowd never opens a session", () =>
        playCrowd({ until: (_crowd, site) => waitForRelease(site.watch) }));

    it("hostile: a crowd opens sessions and stops half-way through a message", () =>
        playCrowd({
            begin: socket => {
                socket.write("STARTUP shop u1\r\n");
                socket.write(`QUERY a READ ${"x".repeat(halfMessageBytes)}`);
            },
            until: (_crowd, site) => waitForRelease(site.watch),
        }));

    it("hostile: a crowd sends a message byte by byte", () =>
        playCrowd({
            begin: socket => {
                socket.write("STARTUP shop u1\r\n");
                socket.write("QUERY a READ ");
                repeat(socket, "x");
            },
            until: (_crowd, site) => waitForRelease(site.watch),
        }));

    it("hostile: a crowd opens sessions, asks for much and stops reading", () =>
        playCrowd({
            isReading: false,
            prepare: writeItem,
            begin: socket => {
                socket.write("STARTUP shop u1\r\n");
                Array.from({ length: 12 }, (_, index) => socket.write(`QUERY q${index} READ large\r\n`));
                // Answers that the operating system takes are no sign of a slow reader, so more are asked for.
                repeat(socket, "QUERY r READ large\r\n");
            },
            until: (_crowd, site) => waitForRelease(site.watch),
        }));

    it("hostile: idle sessions stay open beside clients that stop half-way", async () => {
        await playCrowd({
            count: crowdSize / 2,
            begin: socket => socket.write("STARTUP shop u1\r\nQUERY a READ x\r\n"),
            until: async (crowd, site) => {
                const { host, port } = site.vm.callerAddress;
                const stopped = await createCallerStandIn(port, "shop", host);
                stopped.caller.sendRaw("QUERY b READ ");
                await Promise.race([
                    stopped.caller.closed,
                    new Promise(resolve => setTimeout(resolve, releaseTimeoutMilliseconds).unref()),
                ]);
                stopped.caller.close();
                assert.equal(crowd.openCount(), crowdSize / 2);
            },
        });
    });
});
