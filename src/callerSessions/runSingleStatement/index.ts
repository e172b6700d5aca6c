import { toTypedError } from "../../errors/toTypedError/index.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { acquireConnection } from "../acquireConnection/index.js";
import { attemptStatement } from "../attemptStatement/index.js";
import { callerSessionConstants } from "../constants.js";
import { createFailure } from "../createFailure/index.js";
import { recordAcquisitionTimeout } from "../recordAcquisitionTimeout/index.js";
import { retryAttempts } from "../retryAttempts/index.js";
import type { Attempt } from "../types/Attempt.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import type { EligibleConnection } from "../types/EligibleConnection.js";
import type { SessionServices } from "../types/SessionServices.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/**
 * Runs a statement outside a transaction: acquires a connection, sends the statement, and retries it if it did not run
 * or only reads.
 *
 * @param callerStatement The statement.
 * @param services Placement, and services that record answers.
 * @returns The outcome for the caller.
 *
 * @example
 * const outcome = await runSingleStatement(callerStatement, services);
 */
export function runSingleStatement(
    callerStatement: CallerStatement,
    services: SessionServices,
): Promise<StatementOutcome> {
    const { id, route, session, mode, receivedAt, expiresAt } = callerStatement;
    const { clock, log } = services;
    const isReadOnly = mode === AccessMode.Read;
    const excluded = new Set<string>();
    let eligible: EligibleConnection;
    return retryAttempts({ group: route.group, expiresAt, attempt, onRetryable }, services);

    async function attempt(previous: StatementOutcome): Promise<Attempt> {
        try {
            eligible = await acquireConnection(
                { route, session, isReadOnly, receivedAt, expiresAt, excluded },
                services,
            );
        }
        catch (error) {
            return reportAcquisitionFailure(toTypedError(error).message, previous);
        }
        const timeoutMilliseconds = attemptMilliseconds(callerStatement, clock.now());
        const result = await attemptStatement(callerStatement, eligible, timeoutMilliseconds, services);
        eligible.connection.release();
        return result;
    }

    function reportAcquisitionFailure(reason: string, previous: StatementOutcome): Attempt {
        recordAcquisitionTimeout(callerStatement, { requestKind: "statement", isReadOnly, reason }, services);
        const hasTimedOut = previous.failure?.code === FailureCode.Timeout;
        return { kind: AttemptKind.Final, outcome: hasTimedOut ? previous : createFailure(FailureCode.Busy, reason) };
    }

    function onRetryable({ failure }: StatementOutcome): void {
        const { connection, leastPosition } = eligible;
        log("statement is retried", {
            id,
            endpoint: connection.endpoint.id,
            isPrimary: connection.isPrimary,
            code: failure?.code,
            reason: failure?.description,
            leastPosition,
            waitedMilliseconds: Math.round(clock.now() - receivedAt),
        });
        if (failure?.code === FailureCode.Timeout) {
            excluded.add(connection.endpoint.id);
        }
    }
}

/** Time limit of one attempt: a read leaves time for a retry, a write gets all the remaining time. */
function attemptMilliseconds({ mode, route, expiresAt }: CallerStatement, now: number): number {
    const timeLeft = Math.max(expiresAt - now, 1);
    return mode === AccessMode.Read
        ? Math.min(timeLeft, callerSessionConstants.readAttemptShare * route.statementTimeoutMilliseconds)
        : timeLeft;
}
