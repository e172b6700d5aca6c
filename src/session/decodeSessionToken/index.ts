import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { SessionToken } from "../types/SessionToken.js";
import { verifyPayload } from "../verifyPayload/index.js";

type TokenRow = readonly [string, number, number, number, string?];

/**
 * Checks and decodes a session token.
 *
 * @param text The token as the caller sent it.
 * @param caller Name of the caller that sent it.
 * @param secret The signing secret of the configuration.
 * @returns The token.
 * @throws TarragonpostError of kind `InvalidToken` when it is forged, altered or was issued to another caller.
 *
 * @example
 * const token = decodeSessionToken(text, "dealer-7", configuration.content.tokenSecret);
 */
export function decodeSessionToken(text: string, caller: string, secret: string): SessionToken {
    const [owner, rows] = verifyPayload(text, secret, "session token") as [string, readonly TokenRow[]];
    if (owner !== caller) {
        throw createError(ErrorKind.InvalidToken, "The session token was issued to another caller.", {
            remedy: "Use the token that came back with this caller's own answers, or leave it out.",
        });
    }
    const positions = new Map(
        rows.map(([database, term, position, recordedAtMilliseconds, heldBy]) =>
            [database, { term, position, recordedAtMilliseconds, heldBy }] as const
        ),
    );
    return { caller, positions };
}
