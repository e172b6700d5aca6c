import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { describe, it } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { waitUntilTrue } from "../../testing/waitUntilTrue/index.js";
import { LinkMode } from "../types/LinkMode.js";
import { createFaultyProxy } from "./index.js";

/** Starts an echo server and a proxy in front of it. */
async function createSite() {
    const received: string[] = [];
    const server = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            received.push(chunk.toString());
            socket.write(chunk);
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as { port: number; };
    const proxy = await createFaultyProxy("127.0.0.1", port, createSystemClock());
    const socket = connect(proxy.port, "127.0.0.1");
    let answered = "";
    let hasFailed = false;
    socket.on("data", chunk => {
        answered += chunk.toString();
    });
    socket.on("error", () => {
        hasFailed = true;
    });
    const stop = (): void => {
        socket.destroy();
        proxy.stop();
        server.close();
    };
    return { received, proxy, socket, answered: () => answered, hasFailed: () => hasFailed, stop };
}

describe("createFaultyProxy", () => {
    it("holds back answers of a link that is cut one way, and forwards them in order afterwards", async () => {
        const site = await createSite();
        site.proxy.mode = LinkMode.CutFromServer;
        site.socket.write("a");
        await waitUntilTrue("the server received the bytes", () => site.received.join("") === "a");
        assert.equal(site.answered(), "");
        site.socket.write("b");
        site.proxy.mode = LinkMode.Passing;
        await waitUntilTrue("the answers arrive", () => site.answered() === "ab");
        site.stop();
    });

    it("holds back both directions of a link that is cut", async () => {
        const site = await createSite();
        site.proxy.mode = LinkMode.Cut;
        site.socket.write("a");
        site.proxy.mode = LinkMode.Passing;
        await waitUntilTrue("the answer arrives", () => site.answered() === "a");
        site.stop();
    });

    it("resets connections", async () => {
        const site = await createSite();
        site.socket.write("a");
        await waitUntilTrue("the answer arrives", () => site.answered() === "a");
        site.proxy.reset();
        await waitUntilTrue("the connection is reset", site.hasFailed);
        site.stop();
    });
});
