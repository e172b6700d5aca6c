import type { SessionForwarding } from "../../forwarding/types/SessionForwarding.js";
import type { ConnectionControl } from "../../memory/types/ConnectionControl.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import { createMailbox } from "../../waiting/createMailbox/index.js";
import { admitSession } from "../admitSession/index.js";
import { callerSessionConstants } from "../constants.js";
import { createCallerSession } from "../createCallerSession/index.js";
import { createSessionsStop } from "../createSessionsStop/index.js";
import type { CallerCommand } from "../types/CallerCommand.js";
import { CallerCommandKind } from "../types/CallerCommandKind.js";
import type { CallerConnection } from "../types/CallerConnection.js";
import type { CallerSession } from "../types/CallerSession.js";
import type { CallerSessions } from "../types/CallerSessions.js";
import type { OpenSession } from "../types/OpenSession.js";
import type { ReceivedCommand } from "../types/ReceivedCommand.js";
import type { RunCommand } from "../types/RunCommand.js";
import type { SessionOpening } from "../types/SessionOpening.js";
import type { SessionServices } from "../types/SessionServices.js";
import { StopOutcome } from "../types/StopOutcome.js";

/** Options of `createCallerSessions`. */
interface CallerSessionsOptions {
    /** Time from the start of a graceful stop until the process is killed. */
    readonly graceMilliseconds: number;
    /** Forwards sessions to other VMs; when left out, this VM serves all sessions itself. */
    readonly forwarding?: SessionForwarding;
    /** Whether this VM knows the routes that other VMs know; not at once after its start. */
    readonly hasNewestRoutes: () => boolean;
}

const discarded: StatementFailure = {
    code: FailureCode.Busy,
    description: "this VM has no memory left for what was sent",
};

/**
 * Creates the callers' sessions of one VM, with one task per connection.
 *
 * During a graceful stop, sessions stay open until new connections go to other VMs; after that, each session is closed
 * with the answer to its last statement, or when it is idle. Transactions may end; what is received too late to end is
 * refused as not run. Every statement that was read is answered before its connection is closed.
 *
 * @param services Services that run the statements.
 * @param options The grace time in milliseconds.
 * @returns The sessions, none open.
 *
 * @example
 * const listener = await listenForCallers(address, sessions.serve);
 */
export function createCallerSessions(services: SessionServices, options: CallerSessionsOptions): CallerSessions {
    const { clock, directory, budget, log } = services;
    const sessions = new Set<OpenSession>();
    const { graceMilliseconds } = options;
    const sessionsStop = createSessionsStop({ ...services, sessions, graceMilliseconds });

    function serve(connection: CallerConnection): void {
        serveWith(connection, options.forwarding);
    }

    /** Serves a session that another VM forwards; it is not forwarded again. */
    function serveForwarded(connection: CallerConnection): void {
        serveWith(connection, undefined);
    }

    function serveWith(connection: CallerConnection, forwarding: SessionForwarding | undefined): void {
        const commands = createMailbox<ReceivedCommand>(clock);
        const open: OpenSession = {
            connection,
            connectedAt: clock.now(),
            unfinished: 0,
            running: undefined,
            hasAnswered: false,
            isRefused: false,
            isAborted: false,
            isCutOff: false,
            callerSession: undefined,
            drain,
        };
        sessions.add(open);
        const account = budget.open(createFlowControl(connection, () => {
            open.unfinished += 1;
            commands.push({ command: { kind: CallerCommandKind.Discarded }, receivedAt: clock.now(), bytes: 0 });
        }));
        connection.flow?.onHeldBytes(account.report);
        connection.onCommand((command, bytes) => {
            if (account.accept(bytes)) {
                open.unfinished += 1;
                commands.push({ command, receivedAt: clock.now(), bytes });
            }
        });
        connection.onClose(() => {
            sessions.delete(open);
            commands.close();
            if (open.running !== undefined && !open.isCutOff) {
                sessionsStop.record(StopOutcome.Cut);
            }
            account.close();
        });
        void runTask();

        function drain(): readonly ReceivedCommand[] {
            while (connection.flow?.deliverNext() === true) {
                // A connection that is not read may hold commands that it received in full.
            }
            return commands.drain();
        }

        async function runTask(): Promise<void> {
            try {
                await runSession();
            }
            catch (error) {
                log("session failed unexpectedly; its connection is closed", { reason: (error as Error).stack });
            }
            open.callerSession?.end("the session ended");
            connection.close();
            account.releaseAll();
        }

        async function runSession(): Promise<void> {
            const opening = await openSession();
            if (opening === undefined) {
                return;
            }
            const createLocal = () => createCallerSession(connection, opening, services);
            const session = forwarding?.forward(connection, opening, createLocal) ?? createLocal();
            open.callerSession = session;
            for (;;) {
                const waitMilliseconds = session.isInTransaction()
                    ? directory.routingTable()!.idleTransactionMilliseconds
                    : callerSessionConstants.commandWaitMilliseconds;
                const received = await commands.next(waitMilliseconds);
                if (received === undefined) {
                    if (!sessions.has(open)) {
                        return;
                    }
                    session.abandonTransaction("the transaction was idle for too long");
                    continue;
                }
                const { command, receivedAt, bytes } = received;
                if (command.kind !== CallerCommandKind.Run) {
                    reportFailure(command);
                    return;
                }
                await runStatement(session, command, receivedAt);
                open.hasAnswered = true;
                finishCommand(bytes);
                if (sessionsStop.isFinished(open) || session.isOver() && open.unfinished === 0) {
                    return;
                }
            }
        }

        /** Counts a command as answered; the connection may then deliver the next. */
        function finishCommand(bytes: number): void {
            open.unfinished -= 1;
            account.release(bytes);
        }

        async function runStatement(session: CallerSession, command: RunCommand, receivedAt: number): Promise<void> {
            const refusal = sessionsStop.refuse(open, command);
            if (refusal !== undefined) {
                connection.sendFailure(refusal, SessionState.Idle);
                return;
            }
            open.running = command;
            await session.handle({ id: command.id, statement: command.statement, receivedAt });
            open.running = undefined;
            if (sessions.has(open) && !open.isCutOff) {
                sessionsStop.record(StopOutcome.Answered);
            }
        }

        async function openSession(): Promise<SessionOpening | undefined> {
            const received = await commands.next(callerSessionConstants.openTimeoutMilliseconds);
            const command = received?.command;
            if (received === undefined || command?.kind !== CallerCommandKind.Open) {
                reportFailure(command);
                return undefined;
            }
            const refusal = await admitSession(command, { ...services, ...options });
            if (refusal !== undefined) {
                open.isRefused = true;
                connection.refuse(refusal);
                return undefined;
            }
            connection.sendReady(SessionState.Idle, undefined);
            finishCommand(received.bytes);
            const { database, keyDigest } = command;
            return { database, keyDigest };
        }

        function reportFailure(command: CallerCommand | undefined): void {
            if (command?.kind === CallerCommandKind.Discarded) {
                if (open.callerSession === undefined) {
                    connection.refuse(discarded);
                }
                else {
                    connection.sendFailure(discarded, SessionState.Idle);
                }
            }
            if (command?.kind === CallerCommandKind.Unreadable) {
                log("caller sent an unreadable command", { reason: command.reason });
                connection.sendFailure(
                    { code: FailureCode.Malformed, description: command.reason },
                    SessionState.Idle,
                );
            }
        }
    }

    function describeWork(): readonly string[] {
        return [`${sessions.size} sessions, ${[...sessions].filter(open => open.unfinished > 0).length} of them busy`];
    }

    return { serve, serveForwarded, count: () => sessions.size, closeAll: sessionsStop.closeAll, describeWork };
}

/** Lets the memory budget control what is read from a connection. */
function createFlowControl({ flow, close }: CallerConnection, reportDiscarded: () => void): ConnectionControl {
    return {
        canPause: flow !== undefined,
        pause: () => flow?.pause(),
        resume: () => flow?.resume(),
        deliverNext: () => flow?.deliverNext(),
        refuse: () => {
            flow?.discard();
            reportDiscarded();
        },
        // What the peer does not take would be held until the connection is closed.
        disconnect: () => flow === undefined ? close() : flow.disconnect(),
    };
}
