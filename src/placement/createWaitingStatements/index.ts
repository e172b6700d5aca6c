import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";
import type { WaitingStatements } from "../types/WaitingStatements.js";

/** Options of `createWaitingStatements`. */
interface WaitingStatementsOptions {
    readonly clock: Clock;
    readonly group: string;
    /**
     * Acquires an idle connection, or starts to open one; `openings` counts the openings at each endpoint that earlier
     * statements of the same turn wait for.
     */
    readonly tryAcquire: (
        request: PlacementRequest,
        openings: Map<PlacementTarget, number>,
    ) => AcquiredConnection | undefined;
}

/** A request that waits for a connection. */
interface WaitingRequest {
    readonly request: PlacementRequest;
    readonly waiter: Waiter<AcquiredConnection>;
}

/**
 * Creates the queue of the statements that wait for a connection to an endpoint of one group.
 *
 * The most urgent statement is served first, and a statement that has waited too long is refused.
 *
 * @param options Clock, group, and the function that acquires a connection.
 * @returns The queue, empty.
 *
 * @example
 * const waiting = createWaitingStatements({ clock, group: "orders", tryAcquire });
 * const connection = await waiting.wait(request);
 */
export function createWaitingStatements(options: WaitingStatementsOptions): WaitingStatements {
    const { clock, group, tryAcquire } = options;
    const waiting: WaitingRequest[] = [];

    function wait(request: PlacementRequest): Promise<AcquiredConnection> {
        const waiter = createWaiter<AcquiredConnection>({
            clock,
            timeoutMilliseconds: request.expiresAt - clock.now(),
            signal: request.signal,
            onTimeout: () => {
                waiting.splice(waiting.indexOf(entry), 1);
            },
            createTimeoutError: () =>
                createError(
                    ErrorKind.Overloaded,
                    `No connection to an endpoint of ${group} became available in time.`,
                    {
                        remedy: "Send the request again after a pause.",
                    },
                ),
        });
        const entry: WaitingRequest = { request, waiter };
        const index = waiting.findIndex(other => other.request.priority > request.priority);
        waiting.splice(index < 0 ? waiting.length : index, 0, entry);
        dispatch();
        return waiter.promise;
    }

    function dispatch(): void {
        if (waiting.length === 0) {
            return;
        }
        const openings = new Map<PlacementTarget, number>();
        for (const entry of [...waiting]) {
            if (entry.waiter.isSettled) {
                continue;
            }
            const connection = tryAcquire(entry.request, openings);
            if (connection !== undefined) {
                waiting.splice(waiting.indexOf(entry), 1);
                entry.waiter.resolve(connection);
            }
        }
    }

    return { wait, dispatch, countWaiting: () => waiting.length };
}
