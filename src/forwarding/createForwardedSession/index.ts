import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";
import type { ReceivedStatement } from "../../callerSessions/types/ReceivedStatement.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { mayTakeEffect } from "../mayTakeEffect/index.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { HostedSession } from "../types/HostedSession.js";

/** Options of `createForwardedSession`. */
interface ForwardedSessionOptions {
    readonly connection: CallerConnection;
    readonly database: string;
    /** Name of the VM that serves the session. */
    readonly hostName: string;
    /** The session that is being opened at the host. */
    readonly opening: Promise<HostedSession>;
    /** Creates a session at this VM; used when the host does not open one. */
    readonly createLocal: () => CallerSession;
    /** Newest version of the routing table that was applied to this VM's callers. */
    readonly routingVersion: () => number;
    /** Called with the version of the routing table that the host applied. */
    readonly onRoutingVersion: (version: number) => void;
    /** Called when the host did not open the session or the connection to it was lost. */
    readonly onHostLost: () => void;
    readonly log: LogTopic;
}

/**
 * Creates the session of a caller that another VM serves.
 *
 * When the host does not open the session, this VM serves it. When the connection to the host is lost later, the caller
 * gets a failure that tells whether its statement may have taken effect, and its connection is closed, because the
 * session's values are lost.
 *
 * @param options The caller's connection, the host and the fallback without it.
 * @returns The session.
 *
 * @example
 * const session = createForwardedSession({ connection, opening: open(host, database), ...rest });
 */
export function createForwardedSession(options: ForwardedSessionOptions): CallerSession {
    const { connection, database, hostName, log } = options;
    let state = SessionState.Idle;
    let local: CallerSession | undefined;
    let isBusy = false;
    let isEnded = false;
    const hosted = openHosted();

    async function openHosted(): Promise<HostedSession | undefined> {
        try {
            const session = await options.opening;
            session.onClose(closeWhenIdle);
            if (isEnded) {
                session.close();
            }
            return session;
        }
        catch (error) {
            options.onHostLost();
            log("host did not open a session; it is served by this VM", {
                database,
                host: hostName,
                reason: (error as Error).message,
            });
            local = options.createLocal();
            return undefined;
        }
    }

    function closeWhenIdle(): void {
        if (!isBusy) {
            log("host closed a session; the caller's connection is closed", { database, host: hostName, state });
            connection.close();
        }
    }

    async function handle(received: ReceivedStatement): Promise<void> {
        const session = await hosted;
        if (session === undefined) {
            await local!.handle(received);
            return;
        }
        isBusy = true;
        const { id, statement } = received;
        try {
            sendAnswer(await session.run({ id, statement, routingVersion: options.routingVersion() }));
        }
        catch (error) {
            reportLostHost(received, error as Error);
        }
        isBusy = false;
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

    function reportLostHost({ id, statement }: ReceivedStatement, error: Error): void {
        const code = mayTakeEffect(statement, state) ? FailureCode.OutcomeUnknown : FailureCode.Aborted;
        options.onHostLost();
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
        connection.close();
    }

    return {
        isInTransaction: () => local?.isInTransaction() ?? state !== SessionState.Idle,
        handle,
        // The host rolls back a transaction that is idle too long, and reports it in the answer to the next statement.
        abandonTransaction: reason => local?.abandonTransaction(reason),
        end: reason => {
            isEnded = true;
            local?.end(reason);
            void hosted.then(session => session?.close());
        },
    };
}
