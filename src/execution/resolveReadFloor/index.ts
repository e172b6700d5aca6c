import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { CallerRequest } from "../types/CallerRequest.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";
import type { SessionFloor } from "../types/SessionFloor.js";

/** The position that a read must see, or why none could be proved. */
type ReadFloor =
    | { readonly outcome: OutcomeKind.Answer; readonly position: number; }
    | Exclude<EndpointReply, { readonly outcome: OutcomeKind.Answer; }>;

/**
 * Works out the least position that a read must see.
 *
 * A session with a token must see its own position; a caller that lost its token, everything acknowledged before the
 * read began; a read that accepts an age, a position proved to be no older.
 *
 * @param context Freshness and clock.
 * @param request The read.
 * @param floor What the session's token says.
 * @param deadline When the request must have ended.
 * @returns The position, or the refusal.
 *
 * @example
 * const readFloor = await resolveReadFloor(context, request, floor, deadline);
 */
export async function resolveReadFloor(
    context: ExecutionContext,
    request: CallerRequest,
    floor: SessionFloor,
    deadline: Deadline,
): Promise<ReadFloor> {
    if (request.maximumAgeMilliseconds !== undefined) {
        return resolveAgedFloor(context, request, floor, request.maximumAgeMilliseconds, deadline);
    }
    if (floor.held !== undefined || request.isNewSession === true) {
        return { outcome: OutcomeKind.Answer, position: floor.leastPosition };
    }
    const startedAt = context.clock.now();
    for (;;) {
        const current = await context.freshness.refresh(request.database, deadline.timeLeft());
        if (!("stampedAt" in current)) {
            return current as ReadFloor;
        }
        // A question that was under way already may miss what was acknowledged before this read began.
        if (current.stampedAt >= startedAt) {
            return { outcome: OutcomeKind.Answer, position: current.position };
        }
    }
}

async function resolveAgedFloor(
    context: ExecutionContext,
    request: CallerRequest,
    floor: SessionFloor,
    maximumAgeMilliseconds: number,
    deadline: Deadline,
): Promise<ReadFloor> {
    const { database } = request;
    const ageOf = (stampedAt: number): number => context.clock.now() - stampedAt;
    let newest = context.freshness.newest(database);
    if (newest === undefined || ageOf(newest.stampedAt) > maximumAgeMilliseconds / 2) {
        await context.freshness.refresh(database, deadline.timeLeft());
        newest = context.freshness.newest(database);
    }
    if (newest === undefined || ageOf(newest.stampedAt) > maximumAgeMilliseconds) {
        return createNotRun(
            NotRunReason.TooOld,
            `No data of ${database} can be proved to be at most ${maximumAgeMilliseconds} ms old.`
                + " Accept a higher age, or retry when the primary can be reached.",
        );
    }
    return { outcome: OutcomeKind.Answer, position: Math.max(newest.position, floor.leastPosition) };
}
