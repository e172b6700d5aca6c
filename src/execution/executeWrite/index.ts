import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import { executionConstants } from "../constants.js";
import { createAnswer } from "../createAnswer/index.js";
import { isFinalRefusal } from "../isFinalRefusal/index.js";
import { listAttempts } from "../listAttempts/index.js";
import { readSessionRequirements } from "../readSessionRequirements/index.js";
import { scopeRequestKey } from "../scopeRequestKey/index.js";
import { sendToOwner } from "../sendToOwner/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { CallerRequest } from "../types/CallerRequest.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";

const unknownMessage = "The write may or may not have run. Look it up under its request key, or read the data;"
    + " send writes with a request key to have them retried safely.";

/**
 * Runs a caller's write at the primary.
 *
 * A refused attempt is retried until the deadline. An attempt whose answer was lost is retried only under a request
 * key; from then on the write is reported as not run only after a confirmed cancellation.
 *
 * @param context The services used.
 * @param request The caller's request.
 * @param deadline Time by which the request must have ended.
 * @returns The outcome.
 * @throws TarragonpostError of kind `InvalidToken`.
 *
 * @example
 * const reply = await executeWrite(context, request, createDeadline(context.clock, request.deadlineMilliseconds));
 */
export async function executeWrite(
    context: ExecutionContext,
    request: CallerRequest,
    deadline: Deadline,
): Promise<CallerReply> {
    const { requestId, database } = request;
    const requirements = readSessionRequirements(context, request);
    let { leastTerm } = requirements;
    let mayHaveRun = false;
    let refusal = createNotRun(NotRunReason.NoPrimary, `No primary of ${database} is known. Retry in a moment.`);
    for await (const _attempt of listAttempts({ context, database, deadline })) {
        const group = await context.topology.waitForTerm(database, leastTerm, deadline.timeLeft());
        if (group === undefined) {
            break;
        }
        const stampedAt = context.clock.now();
        const reply = await sendWrite(context, request, deadline, group, requirements.leastPosition);
        if (reply.outcome === OutcomeKind.Answer) {
            context.freshness.recordEvidence(database, { position: reply.position, stampedAt });
            return createAnswer(context, {
                requestId,
                database,
                token: requirements.token,
                endpoint: group.primary,
                isPrimary: true,
                reply,
            });
        }
        if (reply.outcome === OutcomeKind.OutcomeUnknown) {
            mayHaveRun = true;
            if (request.requestKey === undefined) {
                break;
            }
            continue;
        }
        refusal = reply;
        leastTerm = Math.max(leastTerm, reply.newerTerm ?? 0);
        if (isFinalRefusal(reply.reason)) {
            mayHaveRun = mayHaveRun && reply.reason !== NotRunReason.Cancelled;
            break;
        }
    }
    return mayHaveRun
        ? { outcome: OutcomeKind.OutcomeUnknown, requestId, message: unknownMessage }
        : { outcome: OutcomeKind.NotRun, requestId, reason: refusal.reason, message: refusal.message };
}

async function sendWrite(
    context: ExecutionContext,
    request: CallerRequest,
    deadline: Deadline,
    group: GroupRecord,
    leastPosition: number,
): Promise<EndpointReply> {
    const reply = sendToOwner(context, group.primary, gateway =>
        context.gateways.execute(gateway, {
            requestId: request.requestId,
            database: request.database,
            endpoint: group.primary,
            kind: request.kind,
            statement: request.statement,
            term: group.term,
            leastPosition,
            waitMilliseconds: 0,
            requestKey: scopeRequestKey(request.caller, request.requestKey),
            caller: request.caller,
            timeLeftMilliseconds: Math.max(1, deadline.timeLeft() - executionConstants.replyMarginMilliseconds),
        }));
    if (request.requestKey === undefined) {
        return reply;
    }
    // A keyed write need not wait for a superseded primary: the next primary returns the recorded outcome.
    const waitAbort = new AbortController();
    const superseded = context.topology.waitForTerm(
        request.database,
        group.term + 1,
        deadline.timeLeft(),
        waitAbort.signal,
    );
    try {
        return await Promise.race([
            reply,
            superseded.then((): EndpointReply => ({
                outcome: OutcomeKind.OutcomeUnknown,
                message: "The primary was superseded before it answered.",
            })),
        ]);
    }
    finally {
        waitAbort.abort(OutcomeKind.Answer);
    }
}
