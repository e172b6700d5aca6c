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
 * Calls the administrator's interface of a stand-in, or any other HTTP interface with JSON.
 *
 * @param address Where it listens.
 * @param path The path with its query.
 * @param options Method and body.
 * @returns The parsed answer.
 * @throws TarragonpostError of kind `Unreachable` when it refused or did not answer.
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
        throw createError(ErrorKind.Unreachable, `${path} was answered with ${response.statusCode}: ${text}`, {
            remedy: "Check the call against the page on the stand-ins.",
        });
    }
    return text === "" ? undefined : JSON.parse(text);
}
