import { request } from "undici";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { siteConstants } from "../constants.js";

/** Options of `sendAdminCall`. */
interface SendAdminCallOptions {
    readonly method?: "GET" | "PATCH" | "PUT" | "POST" | "DELETE";
    readonly body?: unknown;
}

/**
 * Calls the admin interface of a stand-in, or any other HTTP interface that uses JSON.
 *
 * @param address Address of the interface.
 * @param path The path with its query.
 * @param options Method and body.
 * @returns The parsed answer.
 * @throws TarragonpostError of kind `Unreachable` when the status code of the answer is 300 or above.
 *
 * @example
 * await sendAdminCall(endpoint.admin, "/switches", { method: "PATCH", body: { isKilled: true } });
 */
export async function sendAdminCall(
    address: Address,
    path: string,
    options: SendAdminCallOptions = {},
): Promise<unknown> {
    const response = await request(`http://${address.host}:${address.port}${path}`, {
        method: options.method ?? "GET",
        headers: options.body === undefined ? {} : { "content-type": "application/json" },
        body: options.body === undefined ? undefined : JSON.stringify(options.body),
        signal: AbortSignal.timeout(siteConstants.adminTimeoutMilliseconds),
    });
    const text = await response.body.text();
    if (response.statusCode >= 300) {
        throw createError(
            ErrorKind.Unreachable,
            `The call of ${path} was answered with status ${response.statusCode}: ${text}`,
            {
                remedy: "Check the path and the body against the page on the stand-ins.",
            },
        );
    }
    return text === "" ? undefined : JSON.parse(text);
}
