import type { SessionForwarding } from "../../forwarding/types/SessionForwarding.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createMailbox } from "../../waiting/createMailbox/index.js";
import { waitForCondition } from "../../waiting/waitForCondition/index.js";
import { callerSessionConstants } from "../constants.js";
import { createCallerSession } from "../createCallerSession/index.js";
import type { CallerCommand } from "../types/CallerCommand.js";
import { CallerCommandKind } from "../types/CallerCommandKind.js";
import type { CallerConnection } from "../types/CallerConnection.js";
import type { CallerSession } from "../types/CallerSession.js";
import type { CallerSessions } from "../types/CallerSessions.js";
import type { SessionServices } from "../types/SessionServices.js";

/** Options of `createCallerSessions`. */
interface CallerSessionsOptions {
    /** Time from the start of a graceful stop until the process is killed. */
    readonly graceMilliseconds: number;
    /** Forwards sessions to other VMs; when left out, this VM serves all sessions itself. */
    readonly forwarding?: SessionForwarding;
    /** Whether this VM knows the routes that other VMs know; not at once after its start. */
    readonly hasNewestRoutes: () => boolean;
}

/** A command with the time at which it was received. */
interface ReceivedCommand {
    readonly command: CallerCommand;
    readonly receivedAt: number;
}

/** An open session. */
interface OpenSession {
    /** Whether a command is queued or running. */
    isBusy: boolean;
    /** The caller's session; undefined until it is opened. */
    callerSession: CallerSession | undefined;
    close(): void;
}

/**
 * Creates the callers' sessions of one VM, with one task per connection.
 *
 * During a graceful stop, sessions stay open until new connections go to other VMs; after that, each session is closed
 * as soon as it is idle. Open transactions have half of the grace time to end.
 *
 * @param services Services that run the statements.
 * @param options The grace time in milliseconds.
 * @returns The sessions, none open.
 *
 * @example
 * const listener = await listenForCallers(address, sessions.serve);
 */
export function createCallerSessions(services: SessionServices, options: CallerSessionsOptions): CallerSessions {
    const { clock, directory, log } = services;
    const sessions = new Set<OpenSession>();
    let stoppingSince: number | undefined;

    function serve(connection: CallerConnection): void {
        serveWith(connection, options.forwarding);
    }

    /** Serves a session that another VM forwards; it is not forwarded again. */
    function serveForwarded(connection: CallerConnection): void {
        serveWith(connection, undefined);
    }

    function serveWith(connection: CallerConnection, forwarding: SessionForwarding | undefined): void {
        const commands = createMailbox<ReceivedCommand>(clock);
        let unfinished = 0;
        const open: OpenSession = {
            isBusy: false,
            callerSession: undefined,
            close: () => connection.close(),
        };
        sessions.add(open);
        connection.onCommand(command => {
            unfinished += 1;
            open.isBusy = true;
            if (unfinished > callerSessionConstants.maximumUnfinishedCommands) {
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
                await session.handle({ id: command.id, statement: command.statement, receivedAt });
                finishCommand();
            }
        }

        async function openSession(): Promise<string | undefined> {
            const command = (await commands.next(callerSessionConstants.openTimeoutMilliseconds))?.command;
            if (command?.kind !== CallerCommandKind.Open) {
                reportUnreadable(command);
                return undefined;
            }
            if (!await waitForRoutingTable()) {
                log("session refused", { database: command.database, reason: "no routing table is known yet" });
                connection.refuse({
                    code: FailureCode.Busy,
                    description: "this process has received no routing table yet",
                });
                return undefined;
            }
            await waitForRoute(command.database);
            if (directory.routeOf(command.database) === undefined) {
                log("session refused", { database: command.database, version: directory.routingVersion() });
                connection.refuse({
                    code: FailureCode.UnknownDatabase,
                    description: "no route exists for this database",
                });
                return undefined;
            }
            connection.sendReady(SessionState.Idle, undefined);
            finishCommand();
            return command.database;
        }

        /** Waits for the first routing table: without one, every database would be refused as unknown. */
        function waitForRoutingTable(): Promise<boolean> {
            return waitForCondition(() => directory.routingVersion() > 0, {
                clock,
                timeoutMilliseconds: callerSessionConstants.directoryWaitMilliseconds,
                pollingMilliseconds: callerSessionConstants.directoryPollingMilliseconds,
            });
        }

        /** A store that was restored may not hold a route yet that the other VMs know. */
        function waitForRoute(database: string): Promise<boolean> {
            const hasRoute = (): boolean => directory.routeOf(database) !== undefined;
            return waitForCondition(() => hasRoute() || options.hasNewestRoutes(), {
                clock,
                timeoutMilliseconds: callerSessionConstants.directoryWaitMilliseconds,
                pollingMilliseconds: callerSessionConstants.directoryPollingMilliseconds,
            });
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

        function finishCommand(): void {
            unfinished -= 1;
            open.isBusy = unfinished > 0;
        }
    }

    async function closeAll(): Promise<void> {
        stoppingSince = clock.now();
        const {
            idleCloseDelayMilliseconds,
            transactionGraceShare,
            closeGraceShare,
            stopPollingMilliseconds,
        } = callerSessionConstants;
        const grace = options.graceMilliseconds;
        log("closing all sessions", { open: sessions.size });
        let elapsed = 0;
        while (elapsed < closeGraceShare * grace && (sessions.size > 0 || elapsed < idleCloseDelayMilliseconds)) {
            await clock.sleep(stopPollingMilliseconds);
            elapsed = clock.now() - stoppingSince;
            if (elapsed >= transactionGraceShare * grace) {
                forEachIdle(isInTransaction, endTransaction);
            }
            if (elapsed >= idleCloseDelayMilliseconds) {
                forEachIdle(session => !isInTransaction(session), session => session.close());
            }
        }
        log("end of the stop; closing the sessions that are still open", { open: sessions.size });
        sessions.forEach(session => session.close());
    }

    function isInTransaction({ callerSession }: OpenSession): boolean {
        return callerSession?.isInTransaction() === true;
    }

    function endTransaction(session: OpenSession): void {
        session.callerSession?.abandonTransaction("this VM is stopping");
        session.close();
    }

    function forEachIdle(isSelected: (session: OpenSession) => boolean, action: (session: OpenSession) => void): void {
        for (const session of sessions) {
            if (!session.isBusy && isSelected(session)) {
                action(session);
            }
        }
    }

    function describeWork(): readonly string[] {
        return [`${sessions.size} sessions, ${[...sessions].filter(session => session.isBusy).length} of them busy`];
    }

    return { serve, serveForwarded, count: () => sessions.size, closeAll, describeWork };
}
