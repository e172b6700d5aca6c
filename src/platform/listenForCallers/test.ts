import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import type { CallerCommand } from "../../callerSessions/types/CallerCommand.js";
import { CallerCommandKind } from "../../callerSessions/types/CallerCommandKind.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import { listenForCallers } from "./index.js";

const address = { host: "127.0.0.1", port: 0, availabilityZone: "a" };

async function openPair() {
    let accept: (connection: CallerConnection) => void = () => {};
    const accepted = new Promise<CallerConnection>(resolve => {
        accept = resolve;
    });
    const listener = await listenForCallers(address, connection => accept(connection));
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
});
