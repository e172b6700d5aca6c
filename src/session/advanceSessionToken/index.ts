import { sessionConstants } from "../constants.js";
import type { SessionToken } from "../types/SessionToken.js";
import type { TokenPosition } from "../types/TokenPosition.js";

/**
 * Advances a session token to a position that the session has seen.
 *
 * @param token The token that came with the request.
 * @param database The database that answered.
 * @param seen The position of the answer.
 * @returns A token with the higher of both positions and of both terms.
 *
 * @example
 * const next = advanceSessionToken(token, "stock", { term: 3, position: 90, recordedAtMilliseconds: clock.wallTime() });
 */
export function advanceSessionToken(token: SessionToken, database: string, seen: TokenPosition): SessionToken {
    const previous = token.positions.get(database);
    if (previous !== undefined && previous.position >= seen.position && previous.term >= seen.term) {
        return token;
    }
    const positions = new Map(token.positions);
    positions.delete(database);
    positions.set(database, {
        ...seen,
        term: Math.max(seen.term, previous?.term ?? 0),
        position: Math.max(seen.position, previous?.position ?? 0),
    });
    for (const oldest of positions.keys()) {
        if (positions.size <= sessionConstants.maximumDatabases) {
            break;
        }
        positions.delete(oldest);
    }
    return { caller: token.caller, positions };
}
