import type { SessionOpening } from "../../callerSessions/types/SessionOpening.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { mayTakeEffect } from "../../statements/mayTakeEffect/index.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import { forwardingConstants } from "../constants.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { ForwardedStatement } from "../types/ForwardedStatement.js";
import type { ForwardingClient } from "../types/ForwardingClient.js";
import type { HostedSession } from "../types/HostedSession.js";
import type { HostLink } from "../types/HostLink.js";

/** Options of `createHostLink`. */
interface HostLinkOptions {
    readonly clock: Clock;
    readonly client: ForwardingClient;
    /** Name of the host. */
    readonly hostName: string;
    /** Returns the routing table in force at this VM. */
    readonly routingTable: () => RoutingTable | undefined;
    /** Prefix of the session keys; unique among all VMs. */
    readonly keyPrefix: string;
}

/** A session of this link. */
interface LinkedSession {
    state: SessionState;
    notifyClosed: () => void;
}

/**
 * Creates the link of a forwarding VM to one host.
 *
 * The host opens a session with its first statement, and sessions without an open transaction are closed in batches, so
 * that a session of one statement costs one message each way. The transport's heartbeat detects an unresponsive host;
 * before that, a first statement that may take effect is only sent to a host that has answered recently or answers a
 * probe, so that this VM can serve the session instead.
 *
 * @param options Clock, client for calls to the host, and a unique prefix.
 * @returns The link; the subscription to the host starts with the first session.
 *
 * @example
 * const session = createHostLink({ clock, client, hostName: "vm-2", ...rest }).openSession({ database: "shop", keyDigest });
 */
export function createHostLink(options: HostLinkOptions): HostLink {
    const { clock, client, hostName, keyPrefix } = options;
    /** Newest version of the routing table that the host has or was sent; undefined before its first answer. */
    let hostRoutingVersion: number | undefined;
    const sessions = new Map<string, LinkedSession>();
    let closedKeys: string[] = [];
    let isCloseScheduled = false;
    let lastId = 0;
    let answeredAt = -Infinity;
    /** Resolves when the host has answered the subscription; undefined while there is none. */
    let subscribed: Promise<void> | undefined;

    function subscribe(): Promise<void> {
        const ready = createWaiter<void>({
            clock,
            timeoutMilliseconds: forwardingConstants.openTimeoutMilliseconds,
            createTimeoutError: createUnreachableError,
            onTimeout: () => {
                subscription.unsubscribe();
                end();
            },
        });
        const fail = (): void => {
            ready.reject(createUnreachableError());
            end();
        };
        const subscription = client.watchClosed({
            onData: keys => {
                answeredAt = clock.now();
                ready.resolve();
                keys.forEach(closeByHost);
            },
            onError: fail,
            onComplete: fail,
        });
        return ready.promise;
    }

    function createUnreachableError(): Error {
        return createError(ErrorKind.Unreachable, `VM ${hostName} does not answer; the statement was not sent.`, {
            remedy: "Serve the session at another VM.",
        });
    }

    function closeByHost(key: string): void {
        const session = sessions.get(key);
        sessions.delete(key);
        session?.notifyClosed();
    }

    /** The connection is lost, and with it all sessions. */
    function end(): void {
        subscribed = undefined;
        hostRoutingVersion = undefined;
        answeredAt = -Infinity;
        closedKeys = [];
        [...sessions.keys()].forEach(closeByHost);
    }

    async function confirmHost(): Promise<void> {
        const probe = createWaiter<boolean>({
            clock,
            timeoutMilliseconds: forwardingConstants.openTimeoutMilliseconds,
            createTimeoutError: createUnreachableError,
        });
        client.probe().then(probe.resolve, probe.reject);
        try {
            await probe.promise;
        }
        catch {
            throw createUnreachableError();
        }
    }

    function takeClosedKeys(): { readonly closedKeys?: readonly string[]; } {
        if (closedKeys.length === 0) {
            return {};
        }
        const taken = closedKeys;
        closedKeys = [];
        return { closedKeys: taken };
    }

    /** A host that this VM knows to have an older routing table would otherwise wait for news from elsewhere. */
    function takeNewerTable(): Pick<ForwardedStatement, "routingTable"> {
        const routingTable = options.routingTable();
        if (
            hostRoutingVersion === undefined || routingTable === undefined || routingTable.version <= hostRoutingVersion
        ) {
            return {};
        }
        hostRoutingVersion = routingTable.version;
        return { routingTable };
    }

    function closeLater(key: string): void {
        closedKeys.push(key);
        if (!isCloseScheduled) {
            isCloseScheduled = true;
            clock.startTimer(forwardingConstants.closeDelayMilliseconds, () => {
                isCloseScheduled = false;
                closeNow(takeClosedKeys().closedKeys ?? []);
            });
        }
    }

    function closeNow(keys: readonly string[]): void {
        if (keys.length > 0) {
            // The sessions end with the connection when the host does not answer.
            client.close(keys).catch(() => {});
        }
    }

    function openSession(opening: SessionOpening): HostedSession {
        lastId += 1;
        const sessionKey = `${keyPrefix}-${lastId}`;
        const closeListeners: (() => void)[] = [];
        const session: LinkedSession = {
            state: SessionState.Idle,
            notifyClosed: () => closeListeners.splice(0).forEach(listener => listener()),
        };
        let isOpened = false;
        let isRunning = false;

        async function run(statement: Parameters<HostedSession["run"]>[0]): Promise<ForwardedAnswer> {
            if (!isOpened) {
                await prepare(statement);
            }
            isRunning = true;
            const answer = await client.run({
                ...statement,
                sessionKey,
                ...isOpened ? {} : opening,
                ...takeClosedKeys(),
                ...takeNewerTable(),
            });
            isRunning = false;
            isOpened = true;
            answeredAt = clock.now();
            hostRoutingVersion = Math.max(hostRoutingVersion ?? 0, answer.routingVersion);
            session.state = answer.state;
            return answer;
        }

        /** Makes sure that the host answers, before the first statement is sent. */
        async function prepare({ statement }: Parameters<HostedSession["run"]>[0]): Promise<void> {
            sessions.set(sessionKey, session);
            subscribed ??= subscribe();
            await subscribed;
            const isSilent = clock.now() - answeredAt > forwardingConstants.recentAnswerMilliseconds;
            if (isSilent && mayTakeEffect(statement, SessionState.Idle)) {
                await confirmHost();
            }
        }

        function close(): void {
            if (!sessions.delete(sessionKey)) {
                return;
            }
            if (session.state === SessionState.Idle && !isRunning) {
                closeLater(sessionKey);
            }
            else {
                closeNow([sessionKey]);
            }
        }

        return { run, onClose: listener => closeListeners.push(listener), close };
    }

    return { openSession };
}
