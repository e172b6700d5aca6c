import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { UnknownReply } from "../../messages/types/UnknownReply.js";

/**
 * Creates the reply to a request that may or may not have run.
 *
 * @param cause Description of the failure, as a sentence.
 * @returns The reply; its message ends with the remedy.
 *
 * @example
 * return createUnknownOutcome("The answer of stock-1 was lost.");
 */
export function createUnknownOutcome(cause: string): UnknownReply {
    const remedy = "Look the outcome up under its request key; a read or a write with that key may be sent again.";
    return { outcome: OutcomeKind.OutcomeUnknown, message: `${cause} ${remedy}` };
}
