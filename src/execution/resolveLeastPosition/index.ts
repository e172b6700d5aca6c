import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { CallerRequest } from "../types/CallerRequest.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";
import type { SessionRequirements } from "../types/SessionRequirements.js";

/** The least position that a read must see, or the refusal when none could be proved. */
type LeastReadPosition =
    | { readonly outcome: OutcomeKind.Answer; readonly position: number; }
    | Exclude<EndpointReply, { readonly outcome: OutcomeKind.Answer; }>;

/**
 * Determines the least position that a read must see.
 *
 * A session with a token must see its own position. A session that lost its token must see everything acknowledged
 * before the read began. A bounded-staleness read must see a position proved to be no older than the accepted age.
 *
 * @param context Freshness and clock.
 * @param request The read.
 * @param requirements What the session token requires.
 * @param deadline Time by which the request must have ended.
 * @returns The position, or the refusal.
 *
 * @example
 * const leastReadPosition = await resolveLeastPosition(context, request, requirements, deadline);
 */
export async function resolveLeastPosition(
    context: ExecutionContext,
    request: CallerRequest,
    requirements: SessionRequirements,
    deadline: Deadline,
): Promise<LeastReadPosition> {
    if (request.maximumAgeMilliseconds !== undefined) {
        return resolveBoundedStalenessPosition(
            context,
            request,
            requirements,
            request.maximumAgeMilliseconds,
            deadline,
        );
    }
    if (requirements.tokenPosition !== undefined || request.isNewSession === true) {
        return { outcome: OutcomeKind.Answer, position: requirements.leastPosition };
    }
    const startedAt = context.clock.now();
    for (;;) {
        const current = await context.freshness.refresh(request.database, deadline.timeLeft());
        if (!("stampedAt" in current)) {
            return current as LeastReadPosition;
        }
        // A query that was already in flight may miss writes acknowledged before this read began.
        if (current.stampedAt >= startedAt) {
            return { outcome: OutcomeKind.Answer, position: current.position };
        }
    }
}

async function resolveBoundedStalenessPosition(
    context: ExecutionContext,
    request: CallerRequest,
    requirements: SessionRequirements,
    maximumAgeMilliseconds: number,
    deadline: Deadline,
): Promise<LeastReadPosition> {
    const { database } = request;
    const ageOf = (stampedAt: number): number => context.clock.now() - stampedAt;
    let newest = context.freshness.newestEvidence(database);
    if (newest === undefined || ageOf(newest.stampedAt) > maximumAgeMilliseconds / 2) {
        await context.freshness.refresh(database, deadline.timeLeft());
        newest = context.freshness.newestEvidence(database);
    }
    if (newest === undefined || ageOf(newest.stampedAt) > maximumAgeMilliseconds) {
        return createNotRun(
            NotRunReason.TooOld,
            `No data of ${database} can be proved to be at most ${maximumAgeMilliseconds} ms old.`
                + " Accept a higher age, or retry when the primary is reachable.",
        );
    }
    return { outcome: OutcomeKind.Answer, position: Math.max(newest.position, requirements.leastPosition) };
}
