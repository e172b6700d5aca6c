import { createHmac } from "node:crypto";

/**
 * Computes the proof by which a connecting process shows that it knows the shared peer secret.
 *
 * @param peerSecret The secret shared by all processes of one installation.
 * @param nonce The nonce of the server's challenge.
 * @param peerName Name of the connecting process.
 * @returns The proof in hexadecimal.
 *
 * @example
 * const proof = createPeerProof(settings.peerSecret, nonce, "vm-1-entry");
 */
export function createPeerProof(peerSecret: string, nonce: string, peerName: string): string {
    return createHmac("sha256", peerSecret).update(nonce).update("\n").update(peerName).digest("hex");
}
