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
    /** Time from the order to stop until the process is killed. */
    readonly graceMilliseconds: number;
    /** Forwards sessions to other VMs; left out, this VM serves them all. */
    readonly forwarding?: SessionForwarding;
}

/** A command with the time at which it was received. */
interface ReceivedCommand {
    readonly command: CallerCommand;
    readonly receivedAt: number;
}

/** An open session. */
interface OpenSession {
    /** Whether a command waits or is being run. */
    isBusy: boolean;
    /** What serves the caller; undefined until it has opened the session. */
    served: CallerSession | undefined;
    close(): void;
}

/**
 * Creates the callers' sessions of one VM, one task a connection.
 *
 * A stop takes as long as the grace time allows: sessions stay open until new connections go to other VMs, then each
 * is closed as soon as it is idle, and open transactions have half of the time to end.
 *
 * @param services What runs statements.
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

    /** Serves a session of another VM's caller here. */
    function serveForwarded(connection: CallerConnection): void {
        serveWith(connection, undefined);
    }

    function serveWith(connection: CallerConnection, forwarding: SessionForwarding | undefined): void {
        const commands = createMailbox<ReceivedCommand>(clock);
        let waiting = 0;
        const open: OpenSession = {
            isBusy: false,
            served: undefined,
            close: () => connection.close(),
        };
        sessions.add(open);
        connection.onCommand(command => {
            waiting += 1;
            open.isBusy = true;
            if (waiting > callerSessionConstants.waitingCommands) {
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
                log("session broke", { reason: (error as Error).stack });
            }
            open.served?.end("the caller has left");
            connection.close();
        }

        async function runSession(): Promise<void> {
            const database = await openSession();
            if (database === undefined) {
                return;
            }
            const createLocal = () => createCallerSession(connection, database, services);
            const session = forwarding?.forward(connection, database, createLocal) ?? createLocal();
            open.served = session;
            for (;;) {
                const limit = session.isInTransaction()
                    ? directory.routingTable()!.idleTransactionMilliseconds
                    : callerSessionConstants.idleMilliseconds;
                const received = await commands.next(limit);
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
            const command = (await commands.next(callerSessionConstants.openMilliseconds))?.command;
            if (command?.kind !== CallerCommandKind.Open) {
                reportUnreadable(command);
                return undefined;
            }
            if (!await isDirectoryKnown()) {
                log("session refused", { database: command.database, reason: "no routing table is known yet" });
                connection.refuse({ code: FailureCode.Busy, description: "this process has just started" });
                return undefined;
            }
            if (directory.routeOf(command.database) === undefined) {
                log("session refused", { database: command.database, version: directory.version() });
                connection.refuse({ code: FailureCode.UnknownDatabase, description: "no route leads to it" });
                return undefined;
            }
            connection.sendReady(SessionState.Idle, undefined);
            finishCommand();
            return command.database;
        }

        /** A process that has just started knows no routes: that a database is unknown would not be true. */
        function isDirectoryKnown(): Promise<boolean> {
            return waitForCondition(() => directory.version() > 0, {
                clock,
                timeoutMilliseconds: callerSessionConstants.directoryMilliseconds,
                pollingMilliseconds: callerSessionConstants.directoryCheckMilliseconds,
            });
        }

        function reportUnreadable(command: CallerCommand | undefined): void {
            if (command?.kind === CallerCommandKind.Unreadable) {
                log("caller sent what cannot be read", { reason: command.reason });
                connection.sendFailure(
                    { code: FailureCode.Malformed, description: command.reason },
                    SessionState.Idle,
                );
            }
        }

        function finishCommand(): void {
            waiting -= 1;
            open.isBusy = waiting > 0;
        }
    }

    async function closeAll(): Promise<void> {
        stoppingSince = clock.now();
        const { rotationMilliseconds, transactionGraceShare, endGraceShare, stopCheckMilliseconds } =
            callerSessionConstants;
        const grace = options.graceMilliseconds;
        log("sessions are being closed", { open: sessions.size });
        let elapsed = 0;
        while (elapsed < endGraceShare * grace && (sessions.size > 0 || elapsed < rotationMilliseconds)) {
            await clock.sleep(stopCheckMilliseconds);
            elapsed = clock.now() - stoppingSince;
            if (elapsed >= transactionGraceShare * grace) {
                forEachResting(isInTransaction, endTransaction);
            }
            if (elapsed >= rotationMilliseconds) {
                forEachResting(session => !isInTransaction(session), session => session.close());
            }
        }
        log("sessions are closed", { brokenOff: sessions.size });
        sessions.forEach(session => session.close());
    }

    function isInTransaction({ served }: OpenSession): boolean {
        return served?.isInTransaction() === true;
    }

    function endTransaction(session: OpenSession): void {
        session.served?.abandonTransaction("this VM is stopping");
        session.close();
    }

    function forEachResting(isMeant: (session: OpenSession) => boolean, act: (session: OpenSession) => void): void {
        for (const session of sessions) {
            if (!session.isBusy && isMeant(session)) {
                act(session);
            }
        }
    }

    function describeWork(): readonly string[] {
        return [`${sessions.size} sessions, ${[...sessions].filter(session => session.isBusy).length} of them busy`];
    }

    return { serve, serveForwarded, count: () => sessions.size, closeAll, describeWork };
}
