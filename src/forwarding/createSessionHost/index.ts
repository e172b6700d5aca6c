import type { CallerCommand } from "../../callerSessions/types/CallerCommand.js";
import { CallerCommandKind } from "../../callerSessions/types/CallerCommandKind.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createItemStream } from "../../streams/createItemStream/index.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { waitForCondition } from "../../waiting/waitForCondition/index.js";
import { digestKey } from "../../workspaces/digestKey/index.js";
import { forwardingConstants } from "../constants.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { ForwardedStatement } from "../types/ForwardedStatement.js";
import type { SessionHost } from "../types/SessionHost.js";

/** Options of `createSessionHost`. */
interface SessionHostOptions {
    readonly clock: Clock;
    /** Serves a connection at this VM like that of a caller. */
    readonly serve: (connection: CallerConnection) => void;
    /** Version of the routing table that is in force at this VM. */
    readonly routingVersion: () => number;
    /** Applies a newer routing table, which came with a statement. */
    readonly applyRoutingTable: (table: RoutingTable) => void;
    readonly log: LogTopic;
}

/** Session of another VM's caller. */
interface OpenSession {
    readonly state: () => SessionState;
    run(command: CallerCommand): Promise<ForwardedAnswer>;
    close(): void;
}

/** Answer of a session to a command, without the routing table version that is added to each answer. */
type SessionAnswer = Omit<ForwardedAnswer, "routingVersion">;

/** The sessions that were opened over one connection from another VM. */
interface Link {
    readonly sessions: Map<string, OpenSession>;
    /** Receives the keys of sessions that this VM has closed. */
    reportClosed: (sessionKey: string) => void;
}

/**
 * Creates the host of sessions that this VM serves for callers of other VMs, in the same way as for its own callers.
 *
 * @param options Clock, the function that serves a connection, and the version of the routing table.
 * @returns The host, without sessions.
 *
 * @example
 * const router = createForwardingRouter(createSessionHost({ clock, serve: sessions.serveForwarded, ... }));
 */
export function createSessionHost(options: SessionHostOptions): SessionHost {
    const { clock, log } = options;
    const sessions = new Map<string, OpenSession>();
    const links = new Map<AbortSignal, Link>();

    function linkOf(connectionEnd: AbortSignal): Link {
        let link = links.get(connectionEnd);
        if (link === undefined) {
            link = { sessions: new Map(), reportClosed: () => {} };
            links.set(connectionEnd, link);
            connectionEnd.addEventListener("abort", () => endLink(connectionEnd), { once: true });
        }
        return link;
    }

    function endLink(connectionEnd: AbortSignal): void {
        const link = links.get(connectionEnd)!;
        links.delete(connectionEnd);
        [...link.sessions.values()].forEach(session => session.close());
    }

    async function* watchClosed(
        connectionEnd: AbortSignal,
        signal: AbortSignal | undefined,
    ): AsyncGenerator<readonly string[]> {
        const link = linkOf(connectionEnd);
        const closedKeys = createItemStream<string>();
        link.reportClosed = closedKeys.put;
        yield [];
        for await (const key of closedKeys.items(signal ?? connectionEnd)) {
            yield [key];
        }
    }

    async function openSession(
        { sessionKey, database, keyDigest = digestKey("") }: ForwardedStatement,
        connectionEnd: AbortSignal,
    ): Promise<OpenSession> {
        if (database === undefined || connectionEnd.aborted) {
            throw createClosedError();
        }
        const session = createSession(sessionKey, linkOf(connectionEnd));
        const { failure } = await session.run({ kind: CallerCommandKind.Open, database, keyDigest });
        if (failure !== undefined) {
            session.close();
            throw createError(ErrorKind.NotFound, `The session was not opened: ${failure.description}.`, {
                remedy: "Serve the session at another VM.",
            });
        }
        return session;
    }

    function createSession(key: string, link: Link): OpenSession {
        let state = SessionState.Idle;
        let isClosed = false;
        let waiter: Waiter<SessionAnswer> | undefined;
        let deliver: (command: CallerCommand, bytes: number) => void = () => {};
        const closeListeners: (() => void)[] = [];

        function answer(received: SessionAnswer): void {
            state = received.state;
            waiter?.resolve(received);
            waiter = undefined;
        }

        function close(): void {
            if (isClosed) {
                return;
            }
            isClosed = true;
            sessions.delete(key);
            link.sessions.delete(key);
            waiter?.reject(createInterruptedError());
            closeListeners.splice(0).forEach(listener => listener());
        }

        async function run(command: CallerCommand): Promise<ForwardedAnswer> {
            if (isClosed) {
                throw createClosedError();
            }
            waiter = createWaiter<SessionAnswer>({
                clock,
                timeoutMilliseconds: forwardingConstants.answerTimeoutMilliseconds,
                createTimeoutError: createInterruptedError,
            });
            const { promise } = waiter;
            deliver(command, command.kind === CallerCommandKind.Run ? command.statement.text.length : 0);
            return { ...await promise, routingVersion: options.routingVersion() };
        }

        const session: OpenSession = { state: () => state, run, close };
        sessions.set(key, session);
        link.sessions.set(key, session);
        options.serve({
            onCommand: listener => {
                deliver = listener;
            },
            onClose: listener => closeListeners.push(listener),
            sendReady: (ready, position) => answer({ rows: [], state: ready, position }),
            sendSuccess: answer,
            sendFailure: (failure, failed) => answer({ rows: [], state: failed, failure }),
            refuse: failure => answer({ rows: [], state: SessionState.Idle, failure }),
            close: () => {
                if (!isClosed) {
                    close();
                    link.reportClosed(key);
                }
            },
        });
        return session;
    }

    /** The error for a statement that was not run. */
    function createClosedError(): Error {
        return createError(ErrorKind.NotFound, "The session is closed.", { remedy: "Open another session." });
    }

    /** The error for a statement that may have been run. */
    function createInterruptedError(): Error {
        return createError(ErrorKind.ConnectionClosed, "The session was closed before the statement was answered.", {
            remedy: "Look up whether the statement took effect.",
        });
    }

    async function run(forwarded: ForwardedStatement, connectionEnd: AbortSignal): Promise<ForwardedAnswer> {
        const { sessionKey, id, statement, routingVersion, routingTable, closedKeys = [] } = forwarded;
        close(closedKeys);
        if (routingTable !== undefined) {
            options.applyRoutingTable(routingTable);
        }
        const session = sessions.get(sessionKey) ?? await openSession(forwarded, connectionEnd);
        const isIdle = session.state() === SessionState.Idle;
        if (isIdle && !await waitForRouting(routingVersion)) {
            log("forwarded statement refused: the routing table of this VM is too old", {
                id,
                routingVersion,
                known: options.routingVersion(),
            });
            const failure = { code: FailureCode.Busy, description: "the newest routing table is not known here yet" };
            return { rows: [], state: session.state(), failure, routingVersion: options.routingVersion() };
        }
        return await session.run({ kind: CallerCommandKind.Run, id, statement });
    }

    /** A host must not apply an older routing table than the VM of the caller has already applied. */
    function waitForRouting(version: number): boolean | Promise<boolean> {
        return options.routingVersion() >= version || waitForCondition(() => options.routingVersion() >= version, {
            clock,
            timeoutMilliseconds: forwardingConstants.routingTimeoutMilliseconds,
            pollingMilliseconds: forwardingConstants.routingPollingMilliseconds,
        });
    }

    function close(sessionKeys: readonly string[]): void {
        sessionKeys.forEach(key => sessions.get(key)?.close());
    }

    return { run, close, watchClosed, count: () => sessions.size };
}
