import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { executionConstants } from "../constants.js";
import { createAnswer } from "../createAnswer/index.js";
import { listAttempts } from "../listAttempts/index.js";
import { readSessionRequirements } from "../readSessionRequirements/index.js";
import { sendToOwner } from "../sendToOwner/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { CallerRequest } from "../types/CallerRequest.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";

/**
 * Looks up the outcome of a keyed write at the primary. A write that has not run is cancelled, so that it never runs.
 *
 * @param context The services used.
 * @param request The caller, its database and its session.
 * @param requestKey The key, scoped to its caller as endpoints record it.
 * @param deadline Time by which the request must have ended.
 * @returns The recorded outcome; `NotRun` with reason `Cancelled` when the write had not run and never will.
 * @throws TarragonpostError of kind `InvalidToken`.
 *
 * @example
 * const reply = await lookUpRequestKey(context, request, scopeRequestKey(caller, "fitment-12"), deadline);
 */
export async function lookUpRequestKey(
    context: ExecutionContext,
    request: Pick<CallerRequest, "requestId" | "caller" | "database" | "sessionToken">,
    requestKey: string,
    deadline: Deadline,
): Promise<CallerReply> {
    const { requestId, caller, database } = request;
    const requirements = readSessionRequirements(context, request);
    let { leastTerm } = requirements;
    let message = `No primary of ${database} answered. Look the request key up again in a moment.`;
    for await (const _attempt of listAttempts({ context, database, deadline })) {
        const group = await context.topology.waitForTerm(database, leastTerm, deadline.timeLeft());
        if (group === undefined) {
            break;
        }
        const { primary, term } = group;
        const reply = await sendToOwner(context, primary, gateway =>
            context.gateways.lookUpRequestKey(gateway, {
                requestId,
                database,
                endpoint: primary,
                term,
                requestKey,
                caller,
                timeLeftMilliseconds: Math.max(1, deadline.timeLeft() - executionConstants.replyMarginMilliseconds),
            }));
        if (reply.outcome === OutcomeKind.Answer) {
            const { token } = requirements;
            return createAnswer(context, { requestId, database, token, endpoint: primary, isPrimary: true, reply });
        }
        if (reply.outcome === OutcomeKind.NotRun) {
            if (reply.reason === NotRunReason.Cancelled) {
                return { outcome: OutcomeKind.NotRun, requestId, reason: reply.reason, message: reply.message };
            }
            leastTerm = Math.max(leastTerm, reply.newerTerm ?? 0);
        }
        ({ message } = reply);
    }
    return { outcome: OutcomeKind.OutcomeUnknown, requestId, message };
}
