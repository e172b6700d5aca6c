import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { iterateSubscription } from "../../transport/iterateSubscription/index.js";
import { operatorConstants } from "../constants.js";

/**
 * Joins a text that a gateway sends in chunks.
 *
 * @param subscribe Starts the subscription, as for `iterateSubscription`.
 * @returns The complete text.
 * @throws TarragonpostError of kind `DeadlineExceeded` when the text is not complete within the call timeout.
 *
 * @example
 * const text = await collectText(observer => client.configuration.get.subscribe({}, observer));
 */
export async function collectText(subscribe: Parameters<typeof iterateSubscription<string>>[0]): Promise<string> {
    const signal = AbortSignal.timeout(operatorConstants.callTimeoutMilliseconds);
    let text = "";
    for await (const chunk of iterateSubscription<string>(subscribe, signal)) {
        text += chunk;
    }
    if (signal.aborted) {
        throw createError(ErrorKind.DeadlineExceeded, "The gateway did not send the complete response in time.", {
            remedy: "Retry, or select another gateway with --gateway.",
        });
    }
    return text;
}
