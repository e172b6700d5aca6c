import { toTypedError } from "../../errors/toTypedError/index.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { acquireLease } from "../acquireLease/index.js";
import { attemptStatement } from "../attemptStatement/index.js";
import { callerSessionConstants } from "../constants.js";
import { createFailure } from "../createFailure/index.js";
import { createRetryPauses } from "../createRetryPauses/index.js";
import { describeGroup } from "../describeGroup/index.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { CallerStatement } from "../types/CallerStatement.js";
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
export async function runSingleStatement(
    callerStatement: CallerStatement,
    services: SessionServices,
): Promise<StatementOutcome> {
    const { id, route, session, mode, receivedAt, expiresAt } = callerStatement;
    const { clock, log, metrics } = services;
    const isReadOnly = mode === AccessMode.Read;
    const excluded = new Set<string>();
    let last = createFailure(FailureCode.Busy, "no endpoint can serve the statement now");
    for (const pause of createRetryPauses(services.random)) {
        let placed;
        try {
            placed = await acquireLease({ route, session, isReadOnly, receivedAt, expiresAt, excluded }, services);
        }
        catch (error) {
            const { message } = toTypedError(error);
            metrics.countUnplaced();
            log("statement was not placed", {
                id,
                isReadOnly,
                ...describeGroup(route.group, services),
                waitedMilliseconds: Math.round(clock.now() - receivedAt),
                reason: message,
            });
            return last.failure?.code === FailureCode.Timeout ? last : createFailure(FailureCode.Busy, message);
        }
        const { lease } = placed;
        const attempt = await attemptStatement(
            callerStatement,
            placed,
            attemptMilliseconds(callerStatement, clock.now()),
            services,
        );
        lease.release();
        if (attempt.kind === AttemptKind.Final) {
            return attempt.outcome;
        }
        last = attempt.outcome;
        metrics.countRetry(last.failure?.code);
        log("statement is tried again", {
            id,
            endpoint: lease.endpoint.id,
            isPrimary: lease.isPrimary,
            code: last.failure?.code,
            reason: last.failure?.description,
            leastPosition: placed.leastPosition,
            waitedMilliseconds: Math.round(clock.now() - receivedAt),
        });
        if (last.failure?.code === FailureCode.Timeout) {
            excluded.add(lease.endpoint.id);
        }
        if (clock.now() + pause >= expiresAt) {
            break;
        }
        await clock.sleep(pause);
    }
    return last;
}

/** A read leaves time for another attempt; a write has all the time that is left. */
function attemptMilliseconds({ mode, route, expiresAt }: CallerStatement, now: number): number {
    const timeLeft = Math.max(expiresAt - now, 1);
    return mode === AccessMode.Read
        ? Math.min(timeLeft, callerSessionConstants.readAttemptShare * route.statementTimeoutMilliseconds)
        : timeLeft;
}
