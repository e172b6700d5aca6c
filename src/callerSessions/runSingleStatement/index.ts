import { toTypedError } from "../../errors/toTypedError/index.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { acquireLease } from "../acquireLease/index.js";
import { attemptStatement } from "../attemptStatement/index.js";
import { callerSessionConstants } from "../constants.js";
import { createFailure } from "../createFailure/index.js";
import { noteUnplaced } from "../noteUnplaced/index.js";
import { repeatAttempts } from "../repeatAttempts/index.js";
import type { Attempt } from "../types/Attempt.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import type { PlacedLease } from "../types/PlacedLease.js";
import type { SessionServices } from "../types/SessionServices.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/**
 * Runs a statement outside a transaction: places it, sends it, and tries again what did not run or may be repeated.
 *
 * @param callerStatement The statement.
 * @param services Placement and what learns from answers.
 * @returns What the caller is told.
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
    let placed: PlacedLease;
    return repeatAttempts({ expiresAt, attempt, onRepeatable }, services);

    async function attempt(previous: StatementOutcome): Promise<Attempt> {
        try {
            placed = await acquireLease({ route, session, isReadOnly, receivedAt, expiresAt, excluded }, services);
        }
        catch (error) {
            return reportUnplaced(toTypedError(error).message, previous);
        }
        const timeLimit = attemptMilliseconds(callerStatement, clock.now());
        const made = await attemptStatement(callerStatement, placed, timeLimit, services);
        placed.lease.release();
        return made;
    }

    function reportUnplaced(reason: string, previous: StatementOutcome): Attempt {
        noteUnplaced(callerStatement, { what: "statement", isReadOnly, reason }, services);
        const hasTimedOut = previous.failure?.code === FailureCode.Timeout;
        return { kind: AttemptKind.Final, outcome: hasTimedOut ? previous : createFailure(FailureCode.Busy, reason) };
    }

    function onRepeatable({ failure }: StatementOutcome): void {
        const { lease, leastPosition } = placed;
        log("statement is tried again", {
            id,
            endpoint: lease.endpoint.id,
            isPrimary: lease.isPrimary,
            code: failure?.code,
            reason: failure?.description,
            leastPosition,
            waitedMilliseconds: Math.round(clock.now() - receivedAt),
        });
        if (failure?.code === FailureCode.Timeout) {
            excluded.add(lease.endpoint.id);
        }
    }
}

/** A read leaves time for another attempt; a write has all the time that is left. */
function attemptMilliseconds({ mode, route, expiresAt }: CallerStatement, now: number): number {
    const timeLeft = Math.max(expiresAt - now, 1);
    return mode === AccessMode.Read
        ? Math.min(timeLeft, callerSessionConstants.readAttemptShare * route.statementTimeoutMilliseconds)
        : timeLeft;
}
