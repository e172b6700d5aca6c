import type { Clock } from "../../clock/types/Clock.js";
import { soakConstants } from "../constants.js";

/**
 * Waits for an answer until the answer timeout of callers.
 *
 * @param answer The pending answer.
 * @param clock Source of time.
 * @returns The answer; undefined if it did not arrive in time.
 *
 * @example
 * const answer = await waitForAnswer(caller.run("READ item1"), clock);
 */
export async function waitForAnswer<Answer>(answer: Promise<Answer>, clock: Clock): Promise<Answer | undefined> {
    const timeoutController = new AbortController();
    try {
        return await Promise.race([
            answer,
            clock.sleep(soakConstants.answerTimeoutMilliseconds, timeoutController.signal).then(() => undefined),
        ]);
    }
    finally {
        timeoutController.abort();
    }
}
