import { Agent, request } from "undici";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { platformConstants } from "../constants.js";

/** A call to the platform over HTTP. */
interface HttpCall {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly timeoutMilliseconds: number;
}

/** An answer to a call. */
interface HttpAnswer {
    readonly status: number;
    readonly content: unknown;
}

/** Makes HTTP calls with JSON bodies. */
interface HttpCaller {
    /**
     * Makes a call. Fails with `PlatformUnavailable` when nothing was done, and with `OutcomeUnknown` when a write may
     * have been done.
     */
    call(call: HttpCall): Promise<HttpAnswer>;
    stop(): Promise<void>;
}

/** Statuses that say that nothing was done and that a later call may be served. */
const unavailableStatuses: ReadonlySet<number> = new Set([429, 502, 503, 504]);
const notSentCodes: ReadonlySet<string> = new Set(["ECONNREFUSED", "EHOSTUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/**
 * Creates a caller of one of the platform's HTTP services.
 *
 * A call that times out destroys its connection, so that a connection gone silent is not used again.
 *
 * @param address Where the service listens.
 * @returns The caller.
 *
 * @example
 * const { status, content } = await caller.call({ method: "GET", path: "/-/objects/config", timeoutMilliseconds: 1_000 });
 */
export function createHttpCaller(address: Address): HttpCaller {
    const origin = `http://${address.host}:${address.port}`;
    const agent = new Agent({
        connections: platformConstants.storeConnections,
        connect: { timeout: platformConstants.storeConnectMilliseconds },
    });

    async function call(httpCall: HttpCall): Promise<HttpAnswer> {
        const { method, path, headers, body, timeoutMilliseconds } = httpCall;
        const abort = new AbortController();
        const timer = setTimeout(() => abort.abort(new Error("no answer in time")), timeoutMilliseconds);
        let wasSent = true;
        try {
            const response = await request(`${origin}${path}`, {
                method,
                headers: { ...body === undefined ? {} : { "content-type": "application/json" }, ...headers },
                body: body === undefined ? undefined : JSON.stringify(body),
                dispatcher: agent,
                signal: abort.signal,
            });
            const text = await response.body.text();
            if (unavailableStatuses.has(response.statusCode)) {
                wasSent = false;
                throw new Error(`status ${response.statusCode}`);
            }
            return { status: response.statusCode, content: parseBody(text) };
        }
        catch (cause) {
            const code = (cause as { readonly code?: string; }).code ?? "";
            const isUnknown = wasSent && method !== "GET" && !notSentCodes.has(code);
            throw createError(
                isUnknown ? ErrorKind.OutcomeUnknown : ErrorKind.PlatformUnavailable,
                `${method} ${path} was not answered: ${(cause as Error).message}.`,
                { remedy: isUnknown ? "Read the object to learn the outcome." : "Try again later.", cause },
            );
        }
        finally {
            clearTimeout(timer);
        }
    }

    return { call, stop: () => agent.destroy() };
}

function parseBody(text: string): unknown {
    return text === "" ? undefined : JSON.parse(text);
}
