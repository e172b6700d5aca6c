import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { advanceSessionToken } from "../../session/advanceSessionToken/index.js";
import { encodeSessionToken } from "../../session/encodeSessionToken/index.js";
import type { SessionToken } from "../../session/types/SessionToken.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";

/** Options of `createAnswer`. */
interface CreateAnswerOptions {
    readonly requestId: string;
    readonly database: string;
    readonly token: SessionToken;
    readonly endpoint: string;
    readonly isPrimary: boolean;
    readonly reply: Extract<EndpointReply, { readonly outcome: OutcomeKind.Answer; }>;
    readonly ageMilliseconds?: number;
}

/**
 * Creates the caller's answer from an endpoint's, with the session token advanced, and records the positions in it.
 *
 * @param context Configuration, clock and observations.
 * @param options The request's session and the endpoint's reply.
 * @returns The answer.
 *
 * @example
 * return createAnswer(context, { requestId, database, token, endpoint: "stock-1", isPrimary: true, reply });
 */
export function createAnswer(context: ExecutionContext, options: CreateAnswerOptions): CallerReply {
    const { requestId, database, endpoint, isPrimary, reply } = options;
    const { term, position, confirmedBy } = reply;
    context.observations.recordCommitted(database, position);
    context.observations.recordApplied(database, endpoint, position);
    if (confirmedBy !== undefined) {
        context.observations.recordApplied(database, confirmedBy, position);
    }
    const token = advanceSessionToken(options.token, database, {
        term,
        position,
        recordedAtMilliseconds: Math.floor(context.clock.wallTime()),
        heldBy: isPrimary ? confirmedBy : endpoint,
    });
    return {
        outcome: OutcomeKind.Answer,
        requestId,
        result: reply.result,
        sessionToken: encodeSessionToken(token, context.configuration.current().content.tokenSecret),
        servedBy: { endpoint, role: isPrimary ? EndpointRole.Primary : EndpointRole.Replica, term, position },
        ageMilliseconds: options.ageMilliseconds,
    };
}
