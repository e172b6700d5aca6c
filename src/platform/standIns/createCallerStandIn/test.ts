import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { SessionState } from "../../../statements/types/SessionState.js";
import { createCallerStandIn } from "./index.js";

describe("createCallerStandIn", () => {
    it("ends every waiting statement when the connection is closed, and those sent after", async context => {
        const server = createServer(socket => {
            socket.write("READY I -\r\n");
            socket.on("data", chunk => {
                if (chunk.toString("latin1").includes("READ b")) {
                    socket.end("ROW one\r\nCOMPLETE i-1.s1q1\r\nREADY I 1.1\r\n");
                }
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        context.after(() => server.close());
        const { caller } = await createCallerStandIn((server.address() as { port: number; }).port, "shop");
        const [first, second] = await Promise.all([caller.run("READ a"), caller.run("READ b")]);
        const afterClose = await caller.run("READ c");
        assert.deepEqual(first.rows, ["one"]);
        assert.deepEqual([first.state, second.state, afterClose.state], [SessionState.Idle, undefined, undefined]);
    });
});
