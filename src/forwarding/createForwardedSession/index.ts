import { callerSessionConstants } from "../../callerSessions/constants.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";
import type { ReceivedStatement } from "../../callerSessions/types/ReceivedStatement.js";
import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { mayTakeEffect } from "../../statements/mayTakeEffect/index.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { waitForArrivedInput } from "../../waiting/waitForArrivedInput/index.js";
import { forwardingConstants } from "../constants.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { HostedSession } from "../types/HostedSession.js";

/** Errors after which the host has certainly not run the statement. */
const notRunKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.Unreachable, ErrorKind.NotFound]);

/** Options of `createForwardedSession`. */
interface ForwardedSessionOptions {
    readonly clock: Clock;
    readonly connection: CallerConnection;
    readonly database: string;
    /** Name of the VM that serves the session. */
    readonly hostName: string;
    /** The session at the host, which opens it with the first statement. */
    readonly hosted: HostedSession;
    /** Creates a session at this VM; used when the host does not open one. */
    readonly createLocal: () => CallerSession;
    /** Newest version of the routing table that was applied to this VM's callers. */
    readonly routingVersion: () => number;
    /** Called with the version of the routing table that the host applied. */
    readonly onRoutingVersion: (version: number) => void;
    /** Called when the host did not run the first statement or the connection to it was lost. */
    readonly onHostLost: () => void;
    readonly log: LogTopic;
}

/**
 * Creates the session of a caller that another VM serves.
 *
 * When the host does not answer the first statement, and that statement cannot have taken effect there, this VM serves
 * the session, or forwards it to the next host. When the connection to the host is lost later, the caller gets a failure that tells whether its statement
 * may have taken effect, and its connection is closed, because the session's values are lost. When the host closes an
 * idle session, the caller's connection stays open for a moment, so that a statement on its way gets an answer.
 *
 * @param options The caller's connection, the host and the fallback without it.
 * @returns The session.
 *
 * @example
 * const session = createForwardedSession({ connection, hosted: open(host, database), ...rest });
 */
export function createForwardedSession(options: ForwardedSessionOptions): CallerSession {
    const { clock, connection, database, hosted, hostName, log } = options;
    let state = SessionState.Idle;
    let local: CallerSession | undefined;
    let isBusy = false;
    let hasAnswered = false;
    let isHostGone = false;
    hosted.onClose(() => {
        isHostGone = true;
        clock.startTimer(forwardingConstants.hostClosedLingerMilliseconds, () => void closeWhenIdle());
    });

    async function closeWhenIdle(): Promise<void> {
        const { maximumTurnMilliseconds } = callerSessionConstants;
        await waitForArrivedInput({ clock, maximumTurnMilliseconds, endsAt: Infinity });
        if (!isBusy && local === undefined) {
            log("host closed a session; the caller's connection is closed", { database, host: hostName, state });
            connection.close();
        }
    }

    function isOver(): boolean {
        return local === undefined ? isHostGone : local.isOver();
    }

    async function handle(received: ReceivedStatement): Promise<void> {
        if (local !== undefined) {
            await local.handle(received);
            return;
        }
        if (isOver()) {
            reportLostHost(received, createHostClosedError(), true);
            return;
        }
        isBusy = true;
        const { id, statement } = received;
        try {
            sendAnswer(await hosted.run({ id, statement, routingVersion: options.routingVersion() }));
            hasAnswered = true;
        }
        catch (error) {
            await handleLostHost(received, toTypedError(error));
        }
        isBusy = false;
    }

    function createHostClosedError(): Error {
        return createError(ErrorKind.NotFound, `VM ${hostName} has closed the session.`, {
            remedy: "Open another one.",
        });
    }

    async function handleLostHost(received: ReceivedStatement, error: TypedError): Promise<void> {
        const isCertainlyNotRun = notRunKinds.has(error.kind);
        options.onHostLost();
        if (hasAnswered || !isCertainlyNotRun && mayTakeEffect(received.statement, state)) {
            reportLostHost(received, error, isCertainlyNotRun);
            return;
        }
        log("host did not answer the first statement of a session; it is served elsewhere", {
            id: received.id,
            database,
            host: hostName,
            reason: error.message,
        });
        hosted.close();
        local = options.createLocal();
        await local.handle(received);
    }

    function sendAnswer(answer: ForwardedAnswer): void {
        const { failure, routingVersion, ...success } = answer;
        state = answer.state;
        options.onRoutingVersion(routingVersion);
        if (failure === undefined) {
            connection.sendSuccess(success);
        }
        else {
            connection.sendFailure(failure, state);
        }
    }

    function reportLostHost({ id, statement }: ReceivedStatement, error: Error, isCertainlyNotRun: boolean): void {
        const hasUnknownOutcome = !isCertainlyNotRun && mayTakeEffect(statement, state);
        const code = hasUnknownOutcome ? FailureCode.OutcomeUnknown : FailureCode.Aborted;
        log("connection to the host of a session was lost; the caller's connection is closed", {
            id,
            database,
            host: hostName,
            state,
            code,
            reason: error.message,
        });
        connection.sendFailure(
            { code, description: "the connection to the session's host was lost" },
            SessionState.Idle,
        );
        isHostGone = true;
    }

    return {
        isOver,
        isInTransaction: () => local?.isInTransaction() ?? state !== SessionState.Idle,
        handle,
        // The host rolls back a transaction that is idle too long, and reports it in the answer to the next statement.
        abandonTransaction: reason => local?.abandonTransaction(reason),
        end: reason => {
            local?.end(reason);
            hosted.close();
        },
    };
}
