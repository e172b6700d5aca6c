import type { Clock } from "../../clock/types/Clock.js";
import { soakConstants } from "../constants.js";

/**
 * Waits as long as a caller of the soak waits for an answer.
 *
 * @param answer What is waited for.
 * @param clock Source of time.
 * @returns The answer; undefined when it did not come in time.
 *
 * @example
 * const answer = await waitPatiently(caller.run("READ item1"), clock);
 */
export async function waitPatiently<Answer>(answer: Promise<Answer>, clock: Clock): Promise<Answer | undefined> {
    const silence = new AbortController();
    try {
        return await Promise.race([
            answer,
            clock.sleep(soakConstants.patienceMilliseconds, silence.signal).then(() => undefined),
        ]);
    }
    finally {
        silence.abort();
    }
}
