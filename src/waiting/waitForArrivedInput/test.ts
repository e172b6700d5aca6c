import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { blockEventLoop } from "../../testing/blockEventLoop/index.js";
import { waitForArrivedInput } from "./index.js";

const clock = createSystemClock();
const maximumTurnMilliseconds = 20;
const stallMilliseconds = 60;

/** Opens a connection and collects what its server reads. */
async function openPair() {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const client = connect((server.address() as { port: number; }).port, "127.0.0.1");
    const [accepted] = await once(server, "connection") as [Socket];
    let received = "";
    accepted.on("data", (chunk: Buffer) => {
        received += chunk.toString();
    });
    const close = (): void => {
        client.destroy();
        accepted.destroy();
        server.close();
    };
    return { client, received: () => received, close };
}

describe("waitForArrivedInput", () => {
    it("reads what arrived while the event loop stood still before a timer", async () => {
        const { client, received, close } = await openPair();
        const timer = clock.sleep(stallMilliseconds / 2);
        await nextTurn();
        client.write("a");
        blockEventLoop(stallMilliseconds);
        await timer;
        const receivedAtTimer = received();
        await waitForArrivedInput({ clock, maximumTurnMilliseconds, endsAt: Infinity });
        close();
        assert.deepEqual([receivedAtTimer, received()], ["", "a"]);
    });

    it("waits for another turn after one that took long, since input may have arrived meanwhile", async () => {
        const { client, received, close } = await openPair();
        const stalled = nextTurn().then(() => nextTurn()).then(() => {
            client.write("b");
            blockEventLoop(stallMilliseconds);
        });
        await waitForArrivedInput({ clock, maximumTurnMilliseconds, endsAt: Infinity });
        close();
        await stalled;
        assert.equal(received(), "b");
    });

    it("ends at the given time although each turn takes long", async () => {
        const endsAt = 3 * stallMilliseconds;
        let time = 0;
        const now = (): number => time += stallMilliseconds;
        await waitForArrivedInput({ clock: { ...clock, now }, maximumTurnMilliseconds, endsAt });
        assert.equal(time, endsAt + stallMilliseconds);
    });
});
