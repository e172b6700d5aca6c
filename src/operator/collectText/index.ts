import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { subscribePeer } from "../../transport/subscribePeer/index.js";
import { operatorConstants } from "../constants.js";

/**
 * Joins a text that a gateway sends in parts.
 *
 * @param subscribe Starts the subscription, as for `subscribePeer`.
 * @returns The whole text.
 *
 * @example
 * const text = await collectText(observer => client.configuration.get.subscribe({}, observer));
 */
export async function collectText(subscribe: Parameters<typeof subscribePeer<string>>[0]): Promise<string> {
    const signal = AbortSignal.timeout(operatorConstants.callTimeoutMilliseconds);
    let text = "";
    for await (const part of subscribePeer<string>(subscribe, signal)) {
        text += part;
    }
    if (signal.aborted) {
        throw createError(ErrorKind.DeadlineExceeded, "The gateway did not send the whole text in time.", {
            remedy: "Ask again, or ask another gateway with --gateway.",
        });
    }
    return text;
}
