import type { AcquiredConnection } from "../../connections/types/AcquiredConnection.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import type { StatementAnswer } from "../../endpoints/types/StatementAnswer.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { AttemptOutcome } from "../types/AttemptOutcome.js";
import { AttemptOutcomeKind } from "../types/AttemptOutcomeKind.js";
import type { RequestServices } from "../types/RequestServices.js";

/** The endpoint of a statement and its time limit. */
interface StatementTarget {
    readonly database: string;
    readonly endpoint: string;
    readonly timeoutMilliseconds: number;
}

/**
 * Runs one call on an acquired connection and releases the connection, or closes it when the answer was lost.
 *
 * @param services Clock and connections.
 * @param target Database, endpoint and the time limit for connection and call together, in milliseconds.
 * @param call The call; receives the connection and the time left in milliseconds.
 * @returns How the attempt ended; this function does not fail.
 *
 * @example
 * const outcome = await runStatement(services, target, (connection, left) => connection.execute(createCall(left)));
 */
export async function runStatement(
    services: Pick<RequestServices, "clock" | "connections">,
    target: StatementTarget,
    call: (connection: EndpointConnection, timeLeftMilliseconds: number) => Promise<StatementAnswer>,
): Promise<AttemptOutcome> {
    const { clock, connections } = services;
    const deadlineAt = clock.now() + target.timeoutMilliseconds;
    let acquiredConnection: AcquiredConnection;
    try {
        acquiredConnection = await connections.acquire(target.database, target.endpoint, target.timeoutMilliseconds);
    }
    catch (error) {
        return { kind: AttemptOutcomeKind.NotSent, error: toTypedError(error) };
    }
    try {
        const answer = await call(acquiredConnection.connection, Math.max(deadlineAt - clock.now(), 0));
        acquiredConnection.release();
        return { kind: AttemptOutcomeKind.Answered, answer };
    }
    catch (error) {
        if (isTypedError(error, ErrorKind.EndpointRefused)) {
            acquiredConnection.release();
            return { kind: AttemptOutcomeKind.Refused, error };
        }
        acquiredConnection.discard(error);
        return { kind: AttemptOutcomeKind.Lost, error: toTypedError(error) };
    }
}
