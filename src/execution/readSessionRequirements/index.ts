import { decodeSessionToken } from "../../session/decodeSessionToken/index.js";
import type { SessionToken } from "../../session/types/SessionToken.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";
import type { SessionRequirements } from "../types/SessionRequirements.js";

/** Fields of a request that identify its session. */
interface SessionRequest {
    readonly caller: string;
    readonly database: string;
    readonly sessionToken?: string;
}

/**
 * Reads from a request's session token what the endpoint must have applied, and records the token's routing hints.
 *
 * @param context Configuration and observations.
 * @param request The request.
 * @returns The token and the least position and term.
 * @throws TarragonpostError of kind `InvalidToken`.
 *
 * @example
 * const requirements = readSessionRequirements(context, request);
 */
export function readSessionRequirements(context: ExecutionContext, request: SessionRequest): SessionRequirements {
    const { caller, database, sessionToken } = request;
    const { tokenSecret } = context.configuration.current().content;
    const token: SessionToken = sessionToken === undefined
        ? { caller, positions: new Map() }
        : decodeSessionToken(sessionToken, caller, tokenSecret);
    const tokenPosition = token.positions.get(database);
    if (tokenPosition !== undefined) {
        context.observations.recordCommitted(database, tokenPosition.position);
        if (tokenPosition.heldBy !== undefined) {
            context.observations.recordApplied(database, tokenPosition.heldBy, tokenPosition.position);
        }
    }
    return {
        token,
        tokenPosition,
        leastPosition: tokenPosition?.position ?? 0,
        leastTerm: tokenPosition?.term ?? 1,
    };
}
