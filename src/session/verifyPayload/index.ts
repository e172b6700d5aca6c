import { decode } from "@msgpack/msgpack";
import { createHmac, timingSafeEqual } from "node:crypto";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { sessionConstants } from "../constants.js";

/**
 * Checks the signature of a payload and decodes it.
 *
 * @param text The text that `signPayload` returned, as a caller sent it back.
 * @param secret The signing secret.
 * @param purpose The purpose it was signed for.
 * @returns The payload.
 * @throws TarragonpostError of kind `InvalidToken` when it was not signed with this secret for this purpose.
 *
 * @example
 * const [gateway, transactionId] = verifyPayload(handle, secret, "transaction") as [string, string];
 */
export function verifyPayload(text: string, secret: string, purpose: string): unknown {
    const { signatureBytes, maximumTokenLength } = sessionConstants;
    const bytes = Buffer.from(text.slice(0, maximumTokenLength), "base64url");
    const signature = bytes.subarray(0, signatureBytes);
    const payload = bytes.subarray(signatureBytes);
    const expected = createHmac("sha256", secret).update(purpose).update("\n").update(payload).digest();
    const isSigned = signature.length === signatureBytes
        && timingSafeEqual(signature, expected.subarray(0, signatureBytes));
    if (!isSigned || text.length > maximumTokenLength) {
        throw createError(ErrorKind.InvalidToken, `The ${purpose} was not issued by this system or was altered.`, {
            remedy: "Send it back exactly as it was received, or leave it out.",
        });
    }
    return decode(payload);
}
