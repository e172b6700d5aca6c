import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { connectionConstants } from "../constants.js";
import type { ConnectionLease } from "../types/ConnectionLease.js";
import type { EndpointPool } from "../types/EndpointPool.js";
import { EndpointTroubleKind } from "../types/EndpointTroubleKind.js";

/** Options of `createEndpointPool`. */
interface EndpointPoolOptions {
    readonly clock: Clock;
    readonly endpoint: string;
    /** Opens one connection. */
    readonly connect: () => Promise<EndpointConnection>;
    /** Connections that may be open at once; read at each decision. */
    readonly limit: () => number;
    /** Connections kept open while idle; read at each decision. */
    readonly warmConnections: () => number;
    readonly onTrouble: (kind: EndpointTroubleKind, message: string) => void;
}

/** Why an idle connection is woken. */
enum WakeKind {
    Use = "Use",
    Verify = "Verify",
    Close = "Close",
}

/** What an idle connection is woken for. */
type Wake =
    | { readonly kind: WakeKind.Use; readonly waiter: Waiter<ConnectionLease>; }
    | { readonly kind: WakeKind.Verify; }
    | { readonly kind: WakeKind.Close; };

const troubleKinds: Partial<Record<ErrorKind, EndpointTroubleKind>> = {
    [ErrorKind.ConnectionLimitReached]: EndpointTroubleKind.ConnectionRefused,
    [ErrorKind.ConnectionClosed]: EndpointTroubleKind.ConnectionLost,
    [ErrorKind.DeadlineExceeded]: EndpointTroubleKind.AnswerTimeout,
};

/**
 * Creates the pool of connections to one endpoint, each served by one task.
 *
 * A connection serves one request or transaction until it is over, then it is reset, and only then used again. One
 * that failed is closed. After a failure idle connections have to answer a ping before their next use, while a fresh
 * connection is tried.
 *
 * @param options Clock, endpoint, how to connect, limits and whom to tell of trouble.
 * @returns The pool, with nothing open.
 *
 * @example
 * const lease = await pool.acquire(200);
 */
export function createEndpointPool(options: EndpointPoolOptions): EndpointPool {
    const { clock, endpoint } = options;
    const waiters: Waiter<ConnectionLease>[] = [];
    /** Wakes the idle connections; the one used last is at the end. */
    const idle: ((wake: Wake) => void)[] = [];
    let opening = 0;
    let open = 0;
    let inUse = 0;
    let isClosed = false;
    let warmAgainAt = 0;

    async function runConnection(): Promise<void> {
        const connection = await openConnection();
        if (connection === undefined) {
            openForWaiters();
            return;
        }
        open += 1;
        const end = new AbortController();
        void connection.closed.then(() => end.abort());
        try {
            while (!end.signal.aborted && !isClosed) {
                const wake = await nextWake(end.signal);
                if (wake.kind === WakeKind.Close) {
                    if (end.signal.aborted) {
                        suspect(createLoss());
                    }
                    return;
                }
                if (wake.kind === WakeKind.Verify) {
                    await connection.ping(connectionConstants.pingTimeoutMilliseconds);
                    continue;
                }
                if (end.signal.aborted) {
                    waiters.unshift(wake.waiter);
                    return;
                }
                if (!await serveUse(connection, wake.waiter, end.signal)) {
                    return;
                }
                await connection.reset(connectionConstants.resetTimeoutMilliseconds);
            }
        }
        catch (error) {
            suspect(error);
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
            warmAgainAt = clock.now() + connectionConstants.warmPauseMilliseconds;
            options.onTrouble(
                isRefused ? EndpointTroubleKind.ConnectionRefused : EndpointTroubleKind.Unreachable,
                typed.message,
            );
            takeWaiter()?.reject(typed);
            return undefined;
        }
        finally {
            opening -= 1;
        }
    }

    function nextWake(end: AbortSignal): Promise<Wake> {
        const waiter = takeWaiter();
        if (waiter !== undefined) {
            return Promise.resolve({ kind: WakeKind.Use, waiter });
        }
        return new Promise(resolve => {
            const rest = new AbortController();
            const wake = (reason: Wake): void => {
                const index = idle.indexOf(wake);
                if (index >= 0) {
                    idle.splice(index, 1);
                }
                end.removeEventListener("abort", close);
                // With a reason given, no exception with its stack is built for each use.
                rest.abort(reason.kind);
                resolve(reason);
            };
            const close = (): void => wake({ kind: WakeKind.Close });
            const closeWhenUnneeded = (): void => {
                if (!rest.signal.aborted) {
                    wake({ kind: open > options.warmConnections() ? WakeKind.Close : WakeKind.Verify });
                }
            };
            end.addEventListener("abort", close);
            idle.push(wake);
            void clock.sleep(connectionConstants.idleMilliseconds, rest.signal).then(closeWhenUnneeded);
        });
    }

    async function serveUse(
        connection: EndpointConnection,
        waiter: Waiter<ConnectionLease>,
        lost: AbortSignal,
    ): Promise<boolean> {
        if (waiter.isSettled) {
            return true;
        }
        inUse += 1;
        const isReusable = await new Promise<boolean>(resolve => {
            let isHeld = true;
            const discard = (error: unknown): void => {
                if (isHeld) {
                    isHeld = false;
                    // Closed at once, so that an answer that comes late finds no connection.
                    connection.close();
                    suspect(error);
                    resolve(false);
                }
            };
            const release = (): void => {
                isHeld = false;
                resolve(true);
            };
            waiter.resolve({ connection, lost, release, discard });
        });
        inUse -= 1;
        return isReusable;
    }

    function suspect(error: unknown): void {
        const typed = toTypedError(error);
        options.onTrouble(troubleKinds[typed.kind] ?? EndpointTroubleKind.ConnectionLost, typed.message);
        for (const wake of [...idle]) {
            wake({ kind: WakeKind.Verify });
        }
        if (opening === 0) {
            tryToOpen();
        }
    }

    function createLoss(): Error {
        return createError(ErrorKind.ConnectionClosed, `An idle connection to ${endpoint} was closed.`, {
            remedy: "Check whether the endpoint was stopped.",
        });
    }

    function tryToOpen(): boolean {
        const isAllowed = !isClosed && open + opening < options.limit();
        if (isAllowed) {
            void runConnection();
        }
        return isAllowed;
    }

    function openForWaiters(): void {
        while (opening < waiters.length && tryToOpen()) {
            // Each pass starts one connection.
        }
    }

    function takeWaiter(): Waiter<ConnectionLease> | undefined {
        let waiter = waiters.shift();
        while (waiter?.isSettled === true) {
            waiter = waiters.shift();
        }
        return waiter;
    }

    function acquire(timeoutMilliseconds: number): Promise<ConnectionLease> {
        const waiter = createWaiter<ConnectionLease>({
            clock,
            timeoutMilliseconds,
            createTimeoutError: () =>
                createError(ErrorKind.DeadlineExceeded, `No connection to ${endpoint} before the deadline.`, {
                    remedy: "Check that the endpoint accepts connections, or raise its connection limit.",
                }),
            onTimeout: () => waiters.splice(waiters.indexOf(waiter), 1),
        });
        const wake = idle.at(-1);
        if (wake !== undefined) {
            wake({ kind: WakeKind.Use, waiter });
        }
        else {
            waiters.push(waiter);
            openForWaiters();
        }
        return waiter.promise;
    }

    function adjust(): void {
        for (const wake of idle.slice(0, Math.max(open - options.limit(), 0))) {
            wake({ kind: WakeKind.Close });
        }
        while (clock.now() >= warmAgainAt && open + opening < options.warmConnections() && tryToOpen()) {
            // Each pass starts one connection.
        }
    }

    function close(): void {
        isClosed = true;
        for (const wake of [...idle]) {
            wake({ kind: WakeKind.Close });
        }
    }

    return { acquire, adjust, gauge: () => ({ endpoint, open, inUse, limit: options.limit() }), close };
}
