import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { EndpointOpener } from "../../placement/types/EndpointOpener.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import { SessionState } from "../../statements/types/SessionState.js";

/** An endpoint that answers each statement with the owner of the connection. */
interface OwnedEndpoint {
    readonly open: EndpointOpener;
    /** Number of connections that the endpoint accepts; the test may change it. */
    connectionLimit: number;
    /** Number of attempts to open a connection. */
    attemptCount(): number;
    /** The owners of the open connections, in the order in which they were opened. */
    listOwners(): readonly string[];
    /** Closes the open connection at an index, as the endpoint. */
    closeAt(index: number): void;
}

/**
 * Creates an endpoint for tests whose connections have owners.
 *
 * @param clock Source of time.
 * @param openMilliseconds Time in which it opens a connection.
 * @param workMilliseconds Time in which it runs a statement.
 * @returns The endpoint; it accepts any number of connections.
 *
 * @example
 * const endpoint = createOwnedEndpoint(clock, 12, 20);
 */
export function createOwnedEndpoint(clock: Clock, openMilliseconds: number, workMilliseconds: number): OwnedEndpoint {
    const sessions = new Map<EndpointSession, string>();
    let attemptCount = 0;

    function createSession(owner: string): EndpointSession {
        const closeListeners: (() => void)[] = [];
        let isClosed = false;
        const session: EndpointSession = {
            position: undefined,
            get isClosed() {
                return isClosed;
            },
            exchange: async statements => {
                await clock.sleep(workMilliseconds);
                return statements.map(() => ({ rows: [], signature: owner, state: SessionState.Idle }));
            },
            close: () => {
                if (!isClosed) {
                    isClosed = true;
                    sessions.delete(session);
                    closeListeners.forEach(listener => listener());
                }
            },
            onClose: listener => closeListeners.push(listener),
        };
        sessions.set(session, owner);
        return session;
    }

    const endpoint: OwnedEndpoint = {
        connectionLimit: Infinity,
        open: async (_record, owner) => {
            attemptCount += 1;
            await clock.sleep(openMilliseconds);
            if (sessions.size >= endpoint.connectionLimit) {
                throw createError(ErrorKind.ConnectionLimitReached, "Too many connections.", { remedy: "Wait." });
            }
            return createSession(owner);
        },
        attemptCount: () => attemptCount,
        listOwners: () => [...sessions.values()],
        closeAt: index => [...sessions.keys()][index]?.close(),
    };
    return endpoint;
}
