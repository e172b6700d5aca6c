import type { SessionForwarding } from "../../forwarding/types/SessionForwarding.js";
import { mayTakeEffect } from "../../statements/mayTakeEffect/index.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createMailbox } from "../../waiting/createMailbox/index.js";
import { admitSession } from "../admitSession/index.js";
import { callerSessionConstants } from "../constants.js";
import { createCallerSession } from "../createCallerSession/index.js";
import type { CallerCommand } from "../types/CallerCommand.js";
import { CallerCommandKind } from "../types/CallerCommandKind.js";
import type { CallerConnection } from "../types/CallerConnection.js";
import type { CallerSession } from "../types/CallerSession.js";
import type { CallerSessions } from "../types/CallerSessions.js";
import type { SessionServices } from "../types/SessionServices.js";
import { StopPhase } from "../types/StopPhase.js";

/** Options of `createCallerSessions`. */
interface CallerSessionsOptions {
    /** Time from the start of a graceful stop until the process is killed. */
    readonly graceMilliseconds: number;
    /** Forwards sessions to other VMs; when left out, this VM serves all sessions itself. */
    readonly forwarding?: SessionForwarding;
    /** Whether this VM knows the routes that other VMs know; not at once after its start. */
    readonly hasNewestRoutes: () => boolean;
}

/** A statement of a caller. */
type RunCommand = Extract<CallerCommand, { readonly kind: CallerCommandKind.Run; }>;

/** A command with the time at which it was received. */
interface ReceivedCommand {
    readonly command: CallerCommand;
    readonly receivedAt: number;
}

/** An open session. */
interface OpenSession {
    readonly connection: CallerConnection;
    readonly connectedAt: number;
    /** Number of commands that are queued or running. */
    unfinished: number;
    /** The statement that is running. */
    running: RunCommand | undefined;
    /** Whether a statement was answered. */
    hasAnswered: boolean;
    /** Whether the stop has rolled back the session's transaction and reported it. */
    isAborted: boolean;
    /** Whether the end of the stop has answered all that the session had received. */
    isCutOff: boolean;
    /** The caller's session; undefined until it is opened. */
    callerSession: CallerSession | undefined;
    /** Removes the commands that are queued. */
    drain(): readonly ReceivedCommand[];
}

const stopReason = "this VM is stopping";
const notRun: StatementFailure = { code: FailureCode.Busy, description: stopReason };
const aborted: StatementFailure = { code: FailureCode.Aborted, description: stopReason };
const unknown: StatementFailure = {
    code: FailureCode.OutcomeUnknown,
    description: "this VM stopped before the endpoint had answered",
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
    const { clock, directory, stop, log } = services;
    const sessions = new Set<OpenSession>();

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
            isAborted: false,
            isCutOff: false,
            callerSession: undefined,
            drain: commands.drain,
        };
        sessions.add(open);
        connection.onCommand(command => {
            open.unfinished += 1;
            if (open.unfinished > callerSessionConstants.maximumUnfinishedCommands) {
                connection.close();
                return;
            }
            commands.push({ command, receivedAt: clock.now() });
        });
        connection.onClose(() => {
            sessions.delete(open);
            commands.close();
        });
        void runTask();

        async function runTask(): Promise<void> {
            try {
                await runSession();
            }
            catch (error) {
                log("session failed unexpectedly; its connection is closed", { reason: (error as Error).stack });
            }
            open.callerSession?.end("the session ended");
            connection.close();
        }

        async function runSession(): Promise<void> {
            const database = await openSession();
            if (database === undefined) {
                return;
            }
            const createLocal = () => createCallerSession(connection, database, services);
            const session = forwarding?.forward(connection, database, createLocal) ?? createLocal();
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
                const { command, receivedAt } = received;
                if (command.kind !== CallerCommandKind.Run) {
                    reportUnreadable(command);
                    return;
                }
                await runStatement(session, command, receivedAt);
                open.unfinished -= 1;
                open.hasAnswered = true;
                if (stop.phase() >= StopPhase.Draining && isIdle(open) && !isInTransaction(open)) {
                    return;
                }
            }
        }

        async function runStatement(session: CallerSession, command: RunCommand, receivedAt: number): Promise<void> {
            const refusal = findRefusal(open, command);
            if (refusal !== undefined) {
                log("statement refused: this VM is stopping", { id: command.id, code: refusal.code });
                abort(open);
                connection.sendFailure(refusal, SessionState.Idle);
                return;
            }
            open.running = command;
            await session.handle({ id: command.id, statement: command.statement, receivedAt });
            open.running = undefined;
        }

        async function openSession(): Promise<string | undefined> {
            const command = (await commands.next(callerSessionConstants.openTimeoutMilliseconds))?.command;
            if (command?.kind !== CallerCommandKind.Open) {
                reportUnreadable(command);
                return undefined;
            }
            const refusal = await admitSession(command.database, { ...services, ...options });
            if (refusal !== undefined) {
                connection.refuse(refusal);
                return undefined;
            }
            connection.sendReady(SessionState.Idle, undefined);
            open.unfinished -= 1;
            return command.database;
        }

        function reportUnreadable(command: CallerCommand | undefined): void {
            if (command?.kind === CallerCommandKind.Unreadable) {
                log("caller sent an unreadable command", { reason: command.reason });
                connection.sendFailure(
                    { code: FailureCode.Malformed, description: command.reason },
                    SessionState.Idle,
                );
            }
        }
    }

    /** Returns the failure of a statement that the stop no longer lets run. */
    function findRefusal(open: OpenSession, { statement }: RunCommand): StatementFailure | undefined {
        const phase = stop.phase();
        if (open.isAborted) {
            return aborted;
        }
        if (!isInTransaction(open)) {
            return phase >= StopPhase.Refusing ? notRun : undefined;
        }
        return phase >= StopPhase.Aborting && statement.kind !== StatementKind.Rollback ? aborted : undefined;
    }

    /** Rolls back an open transaction for good; statements that the caller has sent on its behalf are not run. */
    function abort(open: OpenSession): void {
        if (isInTransaction(open)) {
            open.isAborted = true;
            open.callerSession?.end(stopReason);
        }
    }

    async function closeAll(): Promise<void> {
        const { closeGraceShare, stopPollingMilliseconds } = callerSessionConstants;
        const closesAt = clock.now() + closeGraceShare * options.graceMilliseconds;
        log("closing all sessions", { open: sessions.size });
        stop.begin();
        while (clock.now() < closesAt && (sessions.size > 0 || stop.phase() < StopPhase.Draining)) {
            await clock.sleep(stopPollingMilliseconds);
            closeFinished();
        }
        log("end of the stop", { open: sessions.size });
        sessions.forEach(({ connection }) => connection.close());
    }

    /** Closes the sessions that have nothing more to do in the present phase of the stop. */
    function closeFinished(): void {
        const phase = stop.phase();
        for (const open of sessions) {
            if (phase >= StopPhase.Ending) {
                cutOff(open);
            }
            else if (phase >= StopPhase.Aborting && isIdle(open) && isInTransaction(open)) {
                open.callerSession?.abandonTransaction(stopReason);
            }
            else if (phase >= StopPhase.Draining && isIdle(open) && !isInTransaction(open) && hasHadTime(open)) {
                open.connection.close();
            }
        }
    }

    /** Answers all that a session has received, and closes it. */
    function cutOff(open: OpenSession): void {
        if (open.isCutOff) {
            return;
        }
        open.isCutOff = true;
        const { connection, running } = open;
        if (open.callerSession === undefined || isIdle(open) && isInTransaction(open)) {
            // Not a complete answer: the caller is not waiting for a statement.
            connection.refuse(open.callerSession === undefined ? notRun : aborted);
        }
        const wasInTransaction = isInTransaction(open);
        if (running !== undefined) {
            const state = wasInTransaction ? SessionState.InTransaction : SessionState.Idle;
            const failure = mayTakeEffect(running.statement, state) ? unknown : aborted;
            log("statement was still running at the end of the stop", { id: running.id, code: failure.code });
            connection.sendFailure(failure, SessionState.Idle);
        }
        for (const { command } of open.drain()) {
            if (command.kind === CallerCommandKind.Run) {
                log("statement was still queued at the end of the stop", { id: command.id });
                connection.sendFailure(wasInTransaction ? aborted : notRun, SessionState.Idle);
            }
        }
        connection.close();
    }

    function isInTransaction({ callerSession, isAborted }: OpenSession): boolean {
        return !isAborted && callerSession?.isInTransaction() === true;
    }

    /** Whether a session has answered a statement, or had enough time to send one. */
    function hasHadTime({ hasAnswered, connectedAt }: OpenSession): boolean {
        return hasAnswered || clock.now() - connectedAt >= callerSessionConstants.stopOpenTimeoutMilliseconds;
    }

    function describeWork(): readonly string[] {
        return [`${sessions.size} sessions, ${[...sessions].filter(open => !isIdle(open)).length} of them busy`];
    }

    return { serve, serveForwarded, count: () => sessions.size, closeAll, describeWork };
}

function isIdle({ unfinished }: OpenSession): boolean {
    return unfinished === 0;
}
