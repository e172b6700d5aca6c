import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import type { CallerCommand } from "../../callerSessions/types/CallerCommand.js";
import { CallerCommandKind } from "../../callerSessions/types/CallerCommandKind.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { Address } from "../../network/types/Address.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { SessionState } from "../../statements/types/SessionState.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import { platformConstants } from "../constants.js";
import { createLineSplitter } from "../createLineSplitter/index.js";
import { decodeMessage } from "../decodeMessage/index.js";
import { decodeStatement } from "../decodeStatement/index.js";
import { encodeMessage } from "../encodeMessage/index.js";
import type { WireMessage } from "../types/WireMessage.js";
import { WireMessageKind } from "../types/WireMessageKind.js";

/** A server socket that accepts callers. */
interface CallerListener {
    /** The port it listens on. */
    readonly port: number;
    /** Stops accepting connections; open ones continue. */
    stop(): void;
}

/**
 * Accepts callers' connections, which use the wire protocol.
 *
 * @param address Address to listen on; port 0 selects any free port.
 * @param onConnection Called with each new connection.
 * @returns The listener, after it has started to listen.
 * @throws Error when listening on the address fails.
 *
 * @example
 * const listener = await listenForCallers(settings.callerAddress, connection => serveSession(connection));
 */
export async function listenForCallers(
    address: Address,
    onConnection: (connection: CallerConnection) => void,
): Promise<CallerListener> {
    const server = createServer({ noDelay: true }, socket => onConnection(wrapCallerSocket(socket)));
    server.listen(address.port, address.host);
    await once(server, "listening");
    return { port: (server.address() as { port: number; }).port, stop: () => server.close() };
}

function wrapCallerSocket(socket: Socket): CallerConnection {
    const splitter = createLineSplitter(platformConstants.maximumMessageBytes);
    let deliver: (command: CallerCommand) => void = () => {};
    let isClosing = false;

    socket.on("data", chunk => {
        const lines = splitter.push(chunk);
        if (lines === undefined) {
            deliver({ kind: CallerCommandKind.Unreadable, reason: "The message is too long." });
            return;
        }
        for (const line of lines) {
            deliver(toCommand(decodeMessage(line)));
        }
    });
    // The event "close" follows an error and ends the session.
    socket.on("error", () => socket.destroy());

    function write(text: string): void {
        if (socket.writable) {
            socket.write(text, "latin1");
        }
    }

    /** Stops reading from the caller: later statements could not be answered on this connection. */
    function close(): void {
        if (isClosing) {
            return;
        }
        isClosing = true;
        socket.pause();
        socket.end(() => destroyAfter(platformConstants.closeDelayMilliseconds));
        destroyAfter(platformConstants.unreadAnswerMilliseconds);
    }

    function destroyAfter(milliseconds: number): void {
        setTimeout(() => socket.destroy(), milliseconds).unref();
    }

    function encodeReady(state: SessionState, position: LogPosition | undefined): string {
        return encodeMessage({ kind: WireMessageKind.Ready, state, position });
    }

    function encodeFailure(failure: StatementFailure): string {
        return encodeMessage({ kind: WireMessageKind.Error, failure });
    }

    return {
        onCommand: listener => {
            deliver = listener;
        },
        onClose: listener => socket.once("close", listener),
        sendReady: (state, position) => write(encodeReady(state, position)),
        sendSuccess: ({ rows, signature, state, position }) => {
            const rowLines = rows.map(text => encodeMessage({ kind: WireMessageKind.Row, text })).join("");
            const completion = encodeMessage({ kind: WireMessageKind.Complete, signature: signature ?? "-" });
            write(rowLines + completion + encodeReady(state, position));
        },
        sendFailure: (failure, state) => write(encodeFailure(failure) + encodeReady(state, undefined)),
        refuse: failure => {
            write(encodeFailure(failure));
            close();
        },
        close,
    };
}

function toCommand(message: WireMessage): CallerCommand {
    switch (message.kind) {
        case WireMessageKind.Startup:
            return { kind: CallerCommandKind.Open, database: message.database };
        case WireMessageKind.Query:
            return { kind: CallerCommandKind.Run, id: message.id, statement: decodeStatement(message.text) };
        case WireMessageKind.Terminate:
            return { kind: CallerCommandKind.Close };
        default:
            return { kind: CallerCommandKind.Unreadable, reason: "The line is no message of a caller." };
    }
}
