import type { CallerCommand } from "../../callerSessions/types/CallerCommand.js";
import { CallerCommandKind } from "../../callerSessions/types/CallerCommandKind.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { Clock } from "../../clock/types/Clock.js";
import { waitAbortReason } from "../../clock/waitAbortReason.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { waitForCondition } from "../../waiting/waitForCondition/index.js";
import { forwardingConstants } from "../constants.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { SessionHost } from "../types/SessionHost.js";

/** Options of `createSessionHost`. */
interface SessionHostOptions {
    readonly clock: Clock;
    /** Serves a connection at this VM like that of a caller. */
    readonly serve: (connection: CallerConnection) => void;
    /** Version of the routing table that is in force at this VM. */
    readonly routingVersion: () => number;
    readonly log: LogTopic;
}

/** Session of another VM's caller. */
interface OpenSession {
    readonly state: () => SessionState;
    run(command: CallerCommand): Promise<ForwardedAnswer>;
}

/** Answer of a session to a command, without the routing table version that is added to each answer. */
type SessionAnswer = Omit<ForwardedAnswer, "routingVersion">;

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
    const sessions = new Map<number, OpenSession>();
    let lastId = 0;

    async function* open(database: string, signal: AbortSignal | undefined): AsyncGenerator<number> {
        lastId += 1;
        const id = lastId;
        const closed = new AbortController();
        const end = (): void => closed.abort(waitAbortReason);
        signal?.addEventListener("abort", end, { once: true });
        try {
            const session = createSession(closed);
            sessions.set(id, session);
            const { failure } = await session.run({ kind: CallerCommandKind.Open, database });
            if (failure !== undefined) {
                throw createError(ErrorKind.NotFound, `The session was not opened: ${failure.description}.`, {
                    remedy: "Serve the session at another VM.",
                });
            }
            yield id;
            if (!closed.signal.aborted) {
                await new Promise(resolve => closed.signal.addEventListener("abort", resolve, { once: true }));
            }
        }
        finally {
            sessions.delete(id);
            end();
            signal?.removeEventListener("abort", end);
        }
    }

    function createSession(closed: AbortController): OpenSession {
        let state = SessionState.Idle;
        let waiter: Waiter<SessionAnswer> | undefined;
        let deliver: (command: CallerCommand) => void = () => {};

        function answer(received: SessionAnswer): void {
            state = received.state;
            waiter?.resolve(received);
            waiter = undefined;
        }

        options.serve({
            onCommand: listener => {
                deliver = listener;
            },
            onClose: listener => closed.signal.addEventListener("abort", listener, { once: true }),
            sendReady: (ready, position) => answer({ rows: [], state: ready, position }),
            sendSuccess: answer,
            sendFailure: (failure, failed) => answer({ rows: [], state: failed, failure }),
            refuse: failure => answer({ rows: [], state: SessionState.Idle, failure }),
            close: () => closed.abort(waitAbortReason),
        });

        async function run(command: CallerCommand): Promise<ForwardedAnswer> {
            waiter = createWaiter<SessionAnswer>({
                clock,
                timeoutMilliseconds: forwardingConstants.answerTimeoutMilliseconds,
                signal: closed.signal,
                createTimeoutError: createClosedError,
            });
            const { promise } = waiter;
            deliver(command);
            return { ...await promise, routingVersion: options.routingVersion() };
        }

        return { state: () => state, run };
    }

    function createClosedError(): Error {
        return createError(ErrorKind.NotFound, "The session is closed.", { remedy: "Open another session." });
    }

    async function run(
        { sessionId, id, statement, routingVersion }: Parameters<SessionHost["run"]>[0],
    ): Promise<ForwardedAnswer> {
        const session = sessions.get(sessionId);
        if (session === undefined) {
            throw createClosedError();
        }
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
    function waitForRouting(version: number): Promise<boolean> {
        return waitForCondition(() => options.routingVersion() >= version, {
            clock,
            timeoutMilliseconds: forwardingConstants.routingTimeoutMilliseconds,
            pollingMilliseconds: forwardingConstants.routingPollingMilliseconds,
        });
    }

    return { open, run, count: () => sessions.size };
}
