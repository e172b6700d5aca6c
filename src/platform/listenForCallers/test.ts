import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import type { CallerCommand } from "../../callerSessions/types/CallerCommand.js";
import { CallerCommandKind } from "../../callerSessions/types/CallerCommandKind.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { platformConstants } from "../constants.js";
import { listenForCallers } from "./index.js";

const address = { host: "127.0.0.1", port: 0, availabilityZone: "a" };

async function openPair() {
    let accept: (connection: CallerConnection) => void = () => {};
    const accepted = new Promise<CallerConnection>(resolve => {
        accept = resolve;
    });
    const listener = await listenForCallers(address, connection => accept(connection), {
        admission: { admit: () => ({ recordOpened: () => {}, recordActivity: () => {}, release: () => {} }) },
        progressMilliseconds: 60_000,
        onStalled: () => {},
    });
    const socket = connect({ host: "127.0.0.1", port: listener.port, noDelay: true });
    socket.on("error", () => {});
    await once(socket, "connect");
    return { listener, socket, connection: await accepted };
}

describe("listenForCallers", () => {
    it("delivers commands that arrive in parts, in order", async () => {
        const { listener, socket, connection } = await openPair();
        const commands: CallerCommand[] = [];
        const arrived = new Promise<void>(resolve => {
            connection.onCommand(command => commands.push(command) === 3 && resolve());
        });
        for (const part of ["STARTUP sh", "op u1\r\nQUERY 7 RE", "AD 1a4\r\nrubbish\r\n"]) {
            socket.write(part);
        }
        await arrived;
        assert.deepEqual(commands.map(({ kind }) => kind), [
            CallerCommandKind.Open,
            CallerCommandKind.Run,
            CallerCommandKind.Unreadable,
        ]);
        socket.destroy();
        listener.stop();
    });

    it("reads no more commands after it starts to close, since they could not be answered", async () => {
        const { listener, socket, connection } = await openPair();
        const commands: CallerCommand[] = [];
        connection.onCommand(command => commands.push(command));
        const closed = new Promise<void>(resolve => connection.onClose(resolve));
        connection.close();
        socket.write("QUERY 7 WRITE a b\r\n");
        await closed;
        assert.deepEqual(commands, []);
        socket.destroy();
        listener.stop();
    });

    it("sends the whole answer to a caller that reads slowly, before the connection ends", async () => {
        const { listener, socket, connection } = await openPair();
        const rows = Array.from({ length: 16 }, () => "a".repeat(1_000_000));
        let receivedBytes = 0;
        socket.on("data", chunk => {
            receivedBytes += chunk.length;
        });
        socket.pause();
        const closed = once(socket, "close");
        connection.sendSuccess({ rows, state: SessionState.Idle });
        connection.close();
        await createSystemClock().sleep(3 * platformConstants.closeDelayMilliseconds);
        socket.resume();
        await closed;
        listener.stop();
        assert.ok(receivedBytes > rows.join("").length, `only ${receivedBytes} bytes were received`);
    });

    it("ends the connection of a caller that does not read its answer", async () => {
        const { listener, socket, connection } = await openPair();
        const closed = new Promise<void>(resolve => connection.onClose(resolve));
        socket.pause();
        connection.sendSuccess({ rows: ["a".repeat(16_000_000)], state: SessionState.Idle });
        const startedAt = performance.now();
        connection.close();
        await closed;
        assert.ok(performance.now() - startedAt >= platformConstants.unreadAnswerMilliseconds - 10);
        socket.destroy();
        listener.stop();
    });
});
