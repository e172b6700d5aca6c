import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { siteConstants } from "../constants.js";

/**
 * Polls a function until it returns a value.
 *
 * @param awaited The awaited condition, for the error message.
 * @param timeoutMilliseconds Time limit.
 * @param poll Returns undefined while the value is not available; a failure has the same effect.
 * @returns The value.
 * @throws TarragonpostError of kind `DeadlineExceeded` after the time limit, with the last failure as cause.
 *
 * @example
 * const primary = await waitForValue("a primary", 5_000, () => findPrimary(site, "stock"));
 */
export async function waitForValue<Value>(
    awaited: string,
    timeoutMilliseconds: number,
    poll: () => Promise<Value | undefined>,
): Promise<Value> {
    const endsAt = performance.now() + timeoutMilliseconds;
    let cause: unknown;
    while (performance.now() < endsAt) {
        try {
            const value = await poll();
            if (value !== undefined) {
                return value;
            }
        }
        catch (error) {
            cause = error;
        }
        await new Promise(resolve => setTimeout(resolve, siteConstants.pollingMilliseconds));
    }
    const description = `Timed out after ${timeoutMilliseconds} ms waiting for ${awaited}; last failure: ${
        describeCause(cause)
    }.`;
    throw createError(ErrorKind.DeadlineExceeded, description, {
        remedy: "Check the output of the processes concerned.",
        cause,
    });
}

function describeCause(cause: unknown): string {
    return cause instanceof Error ? cause.message : String(cause ?? "none");
}
