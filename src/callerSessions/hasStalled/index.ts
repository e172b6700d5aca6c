import { callerSessionConstants } from "../constants.js";
import type { ConnectionProgress } from "../types/ConnectionProgress.js";

/**
 * Whether a peer has stopped half-way, in a message that it sends or in an answer that it takes. A peer that sends
 * nothing between two messages has not.
 *
 * @param before What had passed at the last look.
 * @param now What has passed until now.
 * @returns True when a begun message, or an answer that is not taken, has made too little progress in between.
 *
 * @example
 * if (hasStalled(before, now)) { socket.destroy(); }
 */
export function hasStalled(before: ConnectionProgress, now: ConnectionProgress): boolean {
    const { leastProgressBytes } = callerSessionConstants;
    const isSameMessage = before.begunBytes > 0 && now.begunBytes > 0 && before.messageCount === now.messageCount;
    const hasUnsent = before.unsentBytes > 0 && now.unsentBytes > 0;
    return isSameMessage && now.receivedBytes - before.receivedBytes < leastProgressBytes
        || hasUnsent && now.takenBytes - before.takenBytes < leastProgressBytes;
}
