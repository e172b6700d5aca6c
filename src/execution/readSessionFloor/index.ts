import { decodeSessionToken } from "../../session/decodeSessionToken/index.js";
import type { SessionToken } from "../../session/types/SessionToken.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";
import type { SessionFloor } from "../types/SessionFloor.js";

/** What of a request tells about its session. */
interface SessionRequest {
    readonly caller: string;
    readonly database: string;
    readonly sessionToken?: string;
}

/**
 * Reads from a request's session token what the endpoint must have applied, and notes the token's hints.
 *
 * @param context Configuration and observations.
 * @param request The request.
 * @returns The token and the least position and term.
 * @throws TarragonpostError of kind `InvalidToken`.
 *
 * @example
 * const floor = readSessionFloor(context, request);
 */
export function readSessionFloor(context: ExecutionContext, request: SessionRequest): SessionFloor {
    const { caller, database, sessionToken } = request;
    const { tokenSecret } = context.configuration.current().content;
    const token: SessionToken = sessionToken === undefined
        ? { caller, positions: new Map() }
        : decodeSessionToken(sessionToken, caller, tokenSecret);
    const held = token.positions.get(database);
    if (held !== undefined) {
        context.observations.noteCommitted(database, held.position);
        if (held.heldBy !== undefined) {
            context.observations.noteApplied(database, held.heldBy, held.position);
        }
    }
    return { token, held, leastPosition: held?.position ?? 0, leastTerm: held?.term ?? 1 };
}
