import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import type { CallerCommand } from "../../callerSessions/types/CallerCommand.js";
import { CallerCommandKind } from "../../callerSessions/types/CallerCommandKind.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { ConnectionAdmission } from "../../callerSessions/types/ConnectionAdmission.js";
import type { ConnectionProgress } from "../../callerSessions/types/ConnectionProgress.js";
import type { Address } from "../../network/types/Address.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import { digestKey } from "../../workspaces/digestKey/index.js";
import { platformConstants } from "../constants.js";
import { createLineBuffer } from "../createLineBuffer/index.js";
import { createStallWatch } from "../createStallWatch/index.js";
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

/** Options of `listenForCallers`. */
interface CallerListenerOptions {
    /** Decides which connections are accepted. */
    readonly admission: ConnectionAdmission;
    /** Time in which a begun message, or an answer that is not taken, has to make progress, in milliseconds. */
    readonly progressMilliseconds: number;
    /** Called when a connection is closed because it made none. */
    readonly onStalled: () => void;
}

/**
 * Accepts callers' connections, which use the wire protocol.
 *
 * @param address Address to listen on; port 0 selects any free port.
 * @param onConnection Called with each new connection.
 * @param options Admission of connections, and their time limit.
 * @returns The listener, after it has started to listen.
 * @throws Error when listening on the address fails.
 *
 * @example
 * const listener = await listenForCallers(settings.callerAddress, connection => serveSession(connection), options);
 */
export async function listenForCallers(
    address: Address,
    onConnection: (connection: CallerConnection) => void,
    options: CallerListenerOptions,
): Promise<CallerListener> {
    const { admission } = options;
    const stallWatch = createStallWatch(options.progressMilliseconds, options.onStalled);
    const server = createServer({ noDelay: true }, socket => {
        const wrapped = wrapCallerSocket(socket);
        const place = admission.admit({ isBusy: wrapped.isBusy, disconnect: () => socket.destroy() });
        if (place === undefined) {
            refuseSocket(socket);
            return;
        }
        wrapped.onOpened(place.recordOpened);
        wrapped.onActivity(place.recordActivity);
        stallWatch.add(socket, wrapped.readProgress);
        socket.once("close", place.release);
        onConnection(wrapped.connection);
    });
    server.once("close", stallWatch.stop);
    server.listen(address.port, address.host);
    await once(server, "listening");
    return { port: (server.address() as { port: number; }).port, stop: () => server.close() };
}

function refuseSocket(socket: Socket): void {
    const failure = { code: FailureCode.ConnectionLimit, description: "this VM has no connection left" };
    socket.on("error", () => socket.destroy());
    socket.write(encodeMessage({ kind: WireMessageKind.Error, failure }), "latin1");
    socket.destroySoon();
}

/** A caller's connection, and what its listener needs to know of it. */
interface WrappedSocket {
    readonly connection: CallerConnection;
    /** Whether a statement or transaction is open. */
    isBusy(): boolean;
    readProgress(): ConnectionProgress;
    onOpened(listener: () => void): void;
    onActivity(listener: () => void): void;
}

function wrapCallerSocket(socket: Socket): WrappedSocket {
    const lines = createLineBuffer(platformConstants.maximumMessageBytes);
    let deliver: (command: CallerCommand, bytes: number) => void = () => {};
    let reportHeld: (undeliveredBytes: number, unsentBytes: number) => void = () => {};
    let reportedBytes = 0;
    let isPaused = false;
    let isDiscarding = false;
    let isClosing = false;
    let reportOpened = (): void => {};
    let reportActivity = (): void => {};
    let messageCount = 0;
    let unansweredCount = 0;
    let lastState = SessionState.Idle;

    socket.on("data", chunk => {
        if (isDiscarding || isClosing) {
            return;
        }
        lines.append(chunk);
        reportActivity();
        deliverAll();
    });
    socket.on("drain", report);
    // The event "close" follows an error and ends the session.
    socket.on("error", () => socket.destroy());

    function deliverAll(): void {
        while (!isPaused && deliverNext()) {
            // Each delivery may pause the connection.
        }
        report();
    }

    /** Delivers the next line; returns whether there was one. */
    function deliverNext(): boolean {
        const line = lines.next();
        if (line !== undefined) {
            report();
            messageCount += 1;
            unansweredCount += 1;
            deliver(toCommand(decodeMessage(line)), line.length);
            return true;
        }
        if (lines.isTooLong()) {
            discard();
            deliver({ kind: CallerCommandKind.Unreadable, reason: "The message is too long." }, 0);
        }
        return false;
    }

    /** Reports what is held, when it has changed. */
    function report(): void {
        const unsentBytes = socket.writableNeedDrain ? socket.writableLength : 0;
        const undeliveredBytes = lines.size();
        if (undeliveredBytes + unsentBytes !== reportedBytes) {
            reportedBytes = undeliveredBytes + unsentBytes;
            reportHeld(undeliveredBytes, unsentBytes);
        }
    }

    function pause(): void {
        isPaused = true;
        socket.pause();
    }

    function resume(): void {
        isPaused = false;
        deliverAll();
        if (!isPaused && !isClosing) {
            socket.resume();
        }
    }

    /** Reads on all the same: closing a connection with unread bytes would lose the last answer. */
    function discard(): void {
        isDiscarding = true;
        lines.clear();
        socket.resume();
    }

    function write(text: string): void {
        if (socket.writable) {
            socket.write(text, "latin1");
            report();
        }
    }

    /** Stops reading from the caller: later statements could not be answered on this connection. */
    function close(): void {
        if (isClosing) {
            return;
        }
        isClosing = true;
        if (!isDiscarding) {
            socket.pause();
        }
        lines.clear();
        socket.end(() => destroyAfter(platformConstants.closeDelayMilliseconds));
        destroyAfter(platformConstants.unreadAnswerMilliseconds);
    }

    function recordAnswer(state: SessionState): void {
        unansweredCount -= 1;
        lastState = state;
        reportActivity();
    }

    function readProgress(): ConnectionProgress {
        return {
            messageCount,
            begunBytes: isPaused || isDiscarding ? 0 : lines.size(),
            receivedBytes: socket.bytesRead,
            unsentBytes: socket.writableLength,
            takenBytes: socket.bytesWritten - socket.writableLength,
        };
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

    const connection: CallerConnection = {
        flow: {
            onHeldBytes: listener => {
                reportHeld = listener;
            },
            pause,
            resume,
            deliverNext,
            discard,
            disconnect: () => socket.destroy(),
        },
        onCommand: listener => {
            deliver = listener;
        },
        onClose: listener => socket.once("close", listener),
        sendReady: (state, position) => {
            reportOpened();
            recordAnswer(state);
            write(encodeReady(state, position));
        },
        sendSuccess: ({ rows, signature, state, position }) => {
            const rowLines = rows.map(text => encodeMessage({ kind: WireMessageKind.Row, text })).join("");
            recordAnswer(state);
            const completion = encodeMessage({ kind: WireMessageKind.Complete, signature: signature ?? "-" });
            write(rowLines + completion + encodeReady(state, position));
        },
        sendFailure: (failure, state) => {
            recordAnswer(state);
            write(encodeFailure(failure) + encodeReady(state, undefined));
        },
        refuse: failure => {
            write(encodeFailure(failure));
            close();
        },
        close,
    };
    return {
        connection,
        isBusy: () => unansweredCount > 0 || lastState !== SessionState.Idle,
        readProgress,
        onOpened: listener => {
            reportOpened = listener;
        },
        onActivity: listener => {
            reportActivity = listener;
        },
    };
}

function toCommand(message: WireMessage): CallerCommand {
    switch (message.kind) {
        case WireMessageKind.Startup:
            return { kind: CallerCommandKind.Open, database: message.database, keyDigest: digestKey(message.user) };
        case WireMessageKind.Query:
            return { kind: CallerCommandKind.Run, id: message.id, statement: decodeStatement(message.text) };
        case WireMessageKind.Terminate:
            return { kind: CallerCommandKind.Close };
        default:
            return { kind: CallerCommandKind.Unreadable, reason: "The line is no message of a caller." };
    }
}
