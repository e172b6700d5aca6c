import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { listReadCandidates } from "../../routing/listReadCandidates/index.js";
import type { ReadCandidate } from "../../routing/types/ReadCandidate.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import { executionConstants } from "../constants.js";
import { createAnswer } from "../createAnswer/index.js";
import { isFinalRefusal } from "../isFinalRefusal/index.js";
import { listAttempts } from "../listAttempts/index.js";
import { readSessionRequirements } from "../readSessionRequirements/index.js";
import { resolveLeastPosition } from "../resolveLeastPosition/index.js";
import { sendToOwner } from "../sendToOwner/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { CallerRequest } from "../types/CallerRequest.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";

/**
 * Runs a caller's read at the endpoint expected to be the first to answer from the position that the read must see.
 *
 * @param context The services used.
 * @param request The caller's request.
 * @param deadline Time by which the request must have ended.
 * @returns The outcome; never `OutcomeUnknown`.
 * @throws TarragonpostError of kind `InvalidToken`.
 *
 * @example
 * const reply = await executeRead(context, request, createDeadline(context.clock, request.deadlineMilliseconds));
 */
export async function executeRead(
    context: ExecutionContext,
    request: CallerRequest,
    deadline: Deadline,
): Promise<CallerReply> {
    const { requestId, database } = request;
    const requirements = readSessionRequirements(context, request);
    let { leastTerm } = requirements;
    let refusal = createNotRun(NotRunReason.NoPrimary, `No term of ${database} is known. Retry in a moment.`);
    for await (const attempt of listAttempts({ context, database, deadline })) {
        const group = await context.topology.waitForTerm(database, leastTerm, deadline.timeLeft());
        if (group === undefined) {
            break;
        }
        const leastReadPosition = await resolveLeastPosition(context, request, requirements, deadline);
        if (leastReadPosition.outcome !== OutcomeKind.Answer) {
            refusal = leastReadPosition.outcome === OutcomeKind.NotRun ? leastReadPosition : refusal;
            continue;
        }
        const leastPosition = Math.max(leastReadPosition.position, group.markerPosition);
        for (const candidate of listCandidates(context, request, group, leastPosition)) {
            const reply = await sendRead(context, request, { attempt, candidate, group, leastPosition, deadline });
            if (reply.outcome === OutcomeKind.Answer) {
                const ageMilliseconds = computeAgeBound(context, request, reply.position);
                if (ageMilliseconds !== undefined && ageMilliseconds > (request.maximumAgeMilliseconds ?? 0)) {
                    refusal = createNotRun(
                        NotRunReason.TooOld,
                        `The data was ${ageMilliseconds} ms old when it arrived. Accept a higher age, or retry.`,
                    );
                    continue;
                }
                return createAnswer(context, {
                    requestId,
                    database,
                    token: requirements.token,
                    endpoint: candidate.endpoint,
                    isPrimary: candidate.isPrimary,
                    reply,
                    ageMilliseconds,
                });
            }
            recordRefusal(context, database, candidate, reply);
            if (reply.outcome === OutcomeKind.NotRun) {
                refusal = reply;
                leastTerm = Math.max(leastTerm, reply.newerTerm ?? 0);
            }
            // Another endpoint may have capacity when one is overloaded; no other final refusal depends on the endpoint.
            const isFinal = isFinalRefusal(refusal.reason) && refusal.reason !== NotRunReason.Overloaded;
            if (leastTerm > group.term || deadline.isExpired() || isFinal) {
                break;
            }
        }
        if (isFinalRefusal(refusal.reason)) {
            break;
        }
    }
    return { outcome: OutcomeKind.NotRun, requestId, reason: refusal.reason, message: refusal.message };
}

/** Computes the proven upper bound on the age of an answer; undefined unless it is a bounded-staleness read. */
function computeAgeBound(context: ExecutionContext, request: CallerRequest, position: number): number | undefined {
    if (request.maximumAgeMilliseconds === undefined) {
        return undefined;
    }
    const evidence = context.freshness.evidenceFor(request.database, position);
    return evidence === undefined ? Infinity : Math.ceil(context.clock.now() - evidence.stampedAt);
}

function listCandidates(
    context: ExecutionContext,
    request: CallerRequest,
    group: GroupRecord,
    leastPosition: number,
): Iterable<ReadCandidate> {
    const { content } = context.configuration.current();
    const definition = content.databases[request.database];
    if (definition === undefined) {
        return [];
    }
    return listReadCandidates(context.readPolicy, {
        database: request.database,
        definition,
        primary: group.primary,
        leastPosition,
        waitBudgetMilliseconds: content.limits.replicaWaitMilliseconds,
        localZone: context.localZone,
        localRegion: context.localRegion,
        observations: context.observations,
        isLeaving: context.topology.isLeaving,
    });
}

/** An attempt to read at one candidate. */
interface ReadAttempt {
    readonly attempt: number;
    readonly candidate: ReadCandidate;
    readonly group: GroupRecord;
    readonly leastPosition: number;
    readonly deadline: Deadline;
}

async function sendRead(
    context: ExecutionContext,
    request: CallerRequest,
    options: ReadAttempt,
): Promise<EndpointReply> {
    const { attempt, candidate, group, leastPosition, deadline } = options;
    const attemptMilliseconds = candidate.waitMilliseconds + executionConstants.readAttemptMilliseconds * 2 ** attempt;
    const timeLeftMilliseconds = Math.min(
        attemptMilliseconds,
        deadline.timeLeft() - executionConstants.replyMarginMilliseconds,
    );
    const startedAt = context.clock.now();
    const reply = await sendToOwner(context, candidate.endpoint, gateway =>
        context.gateways.execute(gateway, {
            requestId: request.requestId,
            database: request.database,
            endpoint: candidate.endpoint,
            kind: request.kind,
            statement: request.statement,
            term: group.term,
            leastPosition,
            waitMilliseconds: candidate.waitMilliseconds,
            isAgedRead: request.maximumAgeMilliseconds !== undefined,
            caller: request.caller,
            timeLeftMilliseconds: Math.max(1, timeLeftMilliseconds),
        }));
    const isWithoutWait = context.observations.hasApplied(candidate.endpoint, leastPosition);
    if (reply.outcome === OutcomeKind.Answer && isWithoutWait) {
        context.observations.recordLatency(candidate.endpoint, context.clock.now() - startedAt);
    }
    return reply;
}

function recordRefusal(
    context: ExecutionContext,
    database: string,
    candidate: ReadCandidate,
    reply: EndpointReply,
): void {
    if (reply.outcome === OutcomeKind.NotRun && reply.reason === NotRunReason.Behind) {
        context.observations.recordApplied(database, candidate.endpoint, reply.position ?? 0);
        return;
    }
    context.observations.recordFailure(candidate.endpoint);
}
