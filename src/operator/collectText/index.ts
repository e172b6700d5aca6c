import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { iterateSubscription } from "../../transport/iterateSubscription/index.js";
import { operatorConstants } from "../constants.js";

/**
 * Joins a text that a gateway sends in parts.
 *
 * @param subscribe Starts the subscription, as for `iterateSubscription`.
 * @returns The whole text.
 *
 * @example
 * const text = await collectText(observer => client.configuration.get.subscribe({}, observer));
 */
export async function collectText(subscribe: Parameters<typeof iterateSubscription<string>>[0]): Promise<string> {
    const signal = AbortSignal.timeout(operatorConstants.callTimeoutMilliseconds);
    let text = "";
    for await (const part of iterateSubscription<string>(subscribe, signal)) {
        text += part;
    }
    if (signal.aborted) {
        throw createError(ErrorKind.DeadlineExceeded, "The gateway did not send the whole text in time.", {
            remedy: "Ask again, or ask another gateway with --gateway.",
        });
    }
    return text;
}
