import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { siteConstants } from "../constants.js";

/**
 * Asks again and again until an answer is there.
 *
 * @param what What is waited for, for the error message.
 * @param timeoutMilliseconds How long.
 * @param ask Answers undefined while it is not there; a failure counts as not there.
 * @returns The answer.
 * @throws TarragonpostError of kind `DeadlineExceeded`, with the last failure as cause.
 *
 * @example
 * const primary = await waitUntil("a primary", 5_000, () => findPrimary(site, "stock"));
 */
export async function waitUntil<Answer>(
    what: string,
    timeoutMilliseconds: number,
    ask: () => Promise<Answer | undefined>,
): Promise<Answer> {
    const endsAt = performance.now() + timeoutMilliseconds;
    let cause: unknown;
    while (performance.now() < endsAt) {
        try {
            const answer = await ask();
            if (answer !== undefined) {
                return answer;
            }
        }
        catch (error) {
            cause = error;
        }
        await new Promise(resolve => setTimeout(resolve, siteConstants.pollIntervalMilliseconds));
    }
    const description = `Waited ${timeoutMilliseconds} ms in vain for ${what}; last failure: ${describeCause(cause)}.`;
    throw createError(ErrorKind.DeadlineExceeded, description, {
        remedy: "Look at the output of the processes concerned.",
        cause,
    });
}

function describeCause(cause: unknown): string {
    return cause instanceof Error ? cause.message : String(cause ?? "none");
}
