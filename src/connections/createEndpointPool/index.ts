import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { connectionConstants } from "../constants.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import { ConnectionFailureKind } from "../types/ConnectionFailureKind.js";
import type { EndpointPool } from "../types/EndpointPool.js";

/** Options of `createEndpointPool`. */
interface EndpointPoolOptions {
    readonly clock: Clock;
    readonly endpoint: string;
    /** Opens one connection. */
    readonly connect: () => Promise<EndpointConnection>;
    /** Maximum number of open connections; read at each decision. */
    readonly limit: () => number;
    /** Number of connections kept open while idle; read at each decision. */
    readonly warmConnections: () => number;
    readonly onFailure: (kind: ConnectionFailureKind, message: string) => void;
}

/** Next action of an idle connection. */
enum IdleActionKind {
    Use = "Use",
    Verify = "Verify",
    Close = "Close",
}

/** Next action of an idle connection; `Use` carries the waiter that gets the connection. */
type IdleAction =
    | { readonly kind: IdleActionKind.Use; readonly waiter: Waiter<AcquiredConnection>; }
    | { readonly kind: IdleActionKind.Verify; }
    | { readonly kind: IdleActionKind.Close; };

const failureKinds: Partial<Record<ErrorKind, ConnectionFailureKind>> = {
    [ErrorKind.ConnectionLimitReached]: ConnectionFailureKind.ConnectionRefused,
    [ErrorKind.ConnectionClosed]: ConnectionFailureKind.ConnectionLost,
    [ErrorKind.DeadlineExceeded]: ConnectionFailureKind.AnswerTimeout,
};

/**
 * Creates the pool of connections to one endpoint. One asynchronous task runs each connection.
 *
 * A connection serves one request or transaction at a time and is reset before the next. A failed connection is
 * closed. After a failure, idle connections must answer a ping before their next use, and a new connection is opened.
 *
 * @param options Clock, endpoint, function that connects, limits and listener of connection failures.
 * @returns The pool, without open connections.
 *
 * @example
 * const acquired = await pool.acquire(200);
 */
export function createEndpointPool(options: EndpointPoolOptions): EndpointPool {
    const { clock, endpoint } = options;
    const waiters: Waiter<AcquiredConnection>[] = [];
    /** One function for each idle connection, which starts its next action; the most recently used one is last. */
    const idle: ((action: IdleAction) => void)[] = [];
    let opening = 0;
    let open = 0;
    let inUse = 0;
    let isClosed = false;
    let warmRetryAt = 0;

    async function runConnection(): Promise<void> {
        const connection = await openConnection();
        if (connection === undefined) {
            openForWaiters();
            return;
        }
        open += 1;
        const closeController = new AbortController();
        void connection.closed.then(() => closeController.abort());
        try {
            while (!closeController.signal.aborted && !isClosed) {
                const action = await nextAction(closeController.signal);
                if (action.kind === IdleActionKind.Close) {
                    if (closeController.signal.aborted) {
                        handleFailure(createClosedError());
                    }
                    return;
                }
                if (action.kind === IdleActionKind.Verify) {
                    await connection.ping(connectionConstants.pingTimeoutMilliseconds);
                    continue;
                }
                if (closeController.signal.aborted) {
                    waiters.unshift(action.waiter);
                    return;
                }
                if (!await serveWaiter(connection, action.waiter, closeController.signal)) {
                    return;
                }
                await connection.reset(connectionConstants.resetTimeoutMilliseconds);
            }
        }
        catch (error) {
            handleFailure(error);
        }
        finally {
            open -= 1;
            connection.close();
            openForWaiters();
        }
    }

    async function openConnection(): Promise<EndpointConnection | undefined> {
        opening += 1;
        try {
            return await options.connect();
        }
        catch (error) {
            const typed = toTypedError(error);
            const isRefused = typed.kind === ErrorKind.ConnectionLimitReached;
            warmRetryAt = clock.now() + connectionConstants.adjustmentIntervalMilliseconds;
            options.onFailure(
                isRefused ? ConnectionFailureKind.ConnectionRefused : ConnectionFailureKind.Unreachable,
                typed.message,
            );
            shiftPendingWaiter()?.reject(typed);
            return undefined;
        }
        finally {
            opening -= 1;
        }
    }

    function nextAction(closedSignal: AbortSignal): Promise<IdleAction> {
        const waiter = shiftPendingWaiter();
        if (waiter !== undefined) {
            return Promise.resolve({ kind: IdleActionKind.Use, waiter });
        }
        return new Promise(resolve => {
            const idleTimer = new AbortController();
            const start = (action: IdleAction): void => {
                const index = idle.indexOf(start);
                if (index >= 0) {
                    idle.splice(index, 1);
                }
                closedSignal.removeEventListener("abort", close);
                // An explicit reason avoids the cost of an exception with its stack trace for each use.
                idleTimer.abort(action.kind);
                resolve(action);
            };
            const close = (): void => start({ kind: IdleActionKind.Close });
            const closeOrVerify = (): void => {
                if (!idleTimer.signal.aborted) {
                    start({ kind: open > options.warmConnections() ? IdleActionKind.Close : IdleActionKind.Verify });
                }
            };
            closedSignal.addEventListener("abort", close);
            idle.push(start);
            void clock.sleep(connectionConstants.idleMilliseconds, idleTimer.signal).then(closeOrVerify);
        });
    }

    async function serveWaiter(
        connection: EndpointConnection,
        waiter: Waiter<AcquiredConnection>,
        closedSignal: AbortSignal,
    ): Promise<boolean> {
        if (waiter.isSettled) {
            return true;
        }
        inUse += 1;
        const isReusable = await new Promise<boolean>(resolve => {
            let isInUse = true;
            const discard = (error: unknown): void => {
                if (isInUse) {
                    isInUse = false;
                    // Closing the connection at once keeps a late answer from reaching a later use.
                    connection.close();
                    handleFailure(error);
                    resolve(false);
                }
            };
            const release = (): void => {
                isInUse = false;
                resolve(true);
            };
            waiter.resolve({ connection, closedSignal, release, discard });
        });
        inUse -= 1;
        return isReusable;
    }

    function handleFailure(error: unknown): void {
        const typed = toTypedError(error);
        options.onFailure(failureKinds[typed.kind] ?? ConnectionFailureKind.ConnectionLost, typed.message);
        for (const start of [...idle]) {
            start({ kind: IdleActionKind.Verify });
        }
        if (opening === 0) {
            tryOpen();
        }
    }

    function createClosedError(): Error {
        return createError(ErrorKind.ConnectionClosed, `An idle connection to ${endpoint} was closed.`, {
            remedy: "Check whether the endpoint was stopped.",
        });
    }

    function tryOpen(): boolean {
        const isAllowed = !isClosed && open + opening < options.limit();
        if (isAllowed) {
            void runConnection();
        }
        return isAllowed;
    }

    function openForWaiters(): void {
        while (opening < waiters.length && tryOpen()) {
            // Each call of `tryOpen` starts one connection.
        }
    }

    function shiftPendingWaiter(): Waiter<AcquiredConnection> | undefined {
        let waiter = waiters.shift();
        while (waiter?.isSettled === true) {
            waiter = waiters.shift();
        }
        return waiter;
    }

    function acquire(timeoutMilliseconds: number): Promise<AcquiredConnection> {
        const waiter = createWaiter<AcquiredConnection>({
            clock,
            timeoutMilliseconds,
            createTimeoutError: () =>
                createError(
                    ErrorKind.DeadlineExceeded,
                    `No connection to ${endpoint} became available before the deadline.`,
                    {
                        remedy: "Check that the endpoint accepts connections, or raise its connection limit.",
                    },
                ),
            onTimeout: () => waiters.splice(waiters.indexOf(waiter), 1),
        });
        const start = idle.at(-1);
        if (start !== undefined) {
            start({ kind: IdleActionKind.Use, waiter });
        }
        else {
            waiters.push(waiter);
            openForWaiters();
        }
        return waiter.promise;
    }

    function adjustSize(): void {
        for (const start of idle.slice(0, Math.max(open - options.limit(), 0))) {
            start({ kind: IdleActionKind.Close });
        }
        while (clock.now() >= warmRetryAt && open + opening < options.warmConnections() && tryOpen()) {
            // Each call of `tryOpen` starts one connection.
        }
    }

    function close(): void {
        isClosed = true;
        for (const start of [...idle]) {
            start({ kind: IdleActionKind.Close });
        }
    }

    return { acquire, adjustSize, gauge: () => ({ endpoint, open, inUse, limit: options.limit() }), close };
}
