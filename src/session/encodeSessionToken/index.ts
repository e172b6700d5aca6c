import { signPayload } from "../signPayload/index.js";
import type { SessionToken } from "../types/SessionToken.js";

/**
 * Encodes and signs a session token.
 *
 * @param token The token.
 * @param secret The signing secret of the configuration.
 * @returns The encoded token.
 *
 * @example
 * const text = encodeSessionToken(token, configuration.content.tokenSecret);
 */
export function encodeSessionToken(token: SessionToken, secret: string): string {
    const rows = [...token.positions].map((
        [database, { term, position, recordedAtMilliseconds, heldBy }],
    ) => heldBy === undefined
        ? [database, term, position, recordedAtMilliseconds]
        : [database, term, position, recordedAtMilliseconds, heldBy]
    );
    return signPayload([token.caller, rows], secret, "session token");
}
