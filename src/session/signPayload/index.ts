import { encode } from "@msgpack/msgpack";
import { createHmac } from "node:crypto";
import { sessionConstants } from "../constants.js";

/**
 * Encodes and signs a payload that callers keep and send back.
 *
 * @param payload Any value that MessagePack can encode.
 * @param secret The signing secret.
 * @param purpose Separates kinds of payloads, so that one kind is never accepted as another.
 * @returns Signature and payload in base64url.
 *
 * @example
 * const handle = signPayload([gateway, transactionId], secret, "transaction");
 */
export function signPayload(payload: unknown, secret: string, purpose: string): string {
    const bytes = encode(payload, { ignoreUndefined: true });
    const signature = createHmac("sha256", secret).update(purpose).update("\n").update(bytes).digest();
    return Buffer.concat([signature.subarray(0, sessionConstants.signatureBytes), bytes]).toString("base64url");
}
