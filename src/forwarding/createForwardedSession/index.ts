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
    /** The session there, as it is being opened. */
    readonly opening: Promise<HostedSession>;
    /** Makes the session that serves the caller here when it cannot be opened there. */
    readonly createLocal: () => CallerSession;
    /** Newest routing table that was applied to this VM's callers. */
    readonly routingVersion: () => number;
    /** Told of the version that the host applied. */
    readonly onRoutingVersion: (version: number) => void;
    /** Told when the host is lost. */
    readonly onLost: () => void;
    readonly log: LogTopic;
}

/**
 * Creates the session of a caller that another VM serves.
 *
 * Before the first statement is sent the session can still be served here. When the host is lost later, the caller is
 * told truly what may have become of its statement, and the session, whose values are lost, is closed.
 *
 * @param options The caller's connection, the host and what to do without it.
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
            session.onClose(closeWhenResting);
            if (isEnded) {
                session.close();
            }
            return session;
        }
        catch (error) {
            options.onLost();
            log("session is not forwarded", { database, host: hostName, reason: (error as Error).message });
            local = options.createLocal();
            return undefined;
        }
    }

    function closeWhenResting(): void {
        if (!isBusy) {
            log("host closed a session", { database, host: hostName, state });
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
            take(await session.run({ id, statement, routingVersion: options.routingVersion() }));
        }
        catch (error) {
            breakOff(received, error as Error);
        }
        isBusy = false;
    }

    function take(answer: ForwardedAnswer): void {
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

    function breakOff({ id, statement }: ReceivedStatement, error: Error): void {
        const code = mayTakeEffect(statement, state) ? FailureCode.OutcomeUnknown : FailureCode.Aborted;
        options.onLost();
        log("host of a session was lost", { id, database, host: hostName, state, code, reason: error.message });
        connection.sendFailure(
            { code, description: "the connection to the session's host was lost" },
            SessionState.Idle,
        );
        connection.close();
    }

    return {
        isInTransaction: () => local?.isInTransaction() ?? state !== SessionState.Idle,
        handle,
        // The host rolls back what rests too long, and answers the next statement so.
        abandonTransaction: reason => local?.abandonTransaction(reason),
        end: reason => {
            isEnded = true;
            local?.end(reason);
            void hosted.then(session => session?.close());
        },
    };
}
