import { Agent, request } from "undici";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { platformConstants } from "../constants.js";

/** An HTTP request to the platform. */
interface HttpRequest {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly timeoutMilliseconds: number;
}

/** Answer to an HTTP request. */
interface HttpAnswer {
    readonly status: number;
    /** Header fields by lower-case name. */
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly content: unknown;
}

/** Sends HTTP requests with JSON bodies. */
interface HttpClient {
    /**
     * Sends a request. Fails with `PlatformUnavailable` when the request had no effect, and with `OutcomeUnknown` when
     * a write may have taken effect.
     */
    call(call: HttpRequest): Promise<HttpAnswer>;
    stop(): Promise<void>;
}

/** Statuses of requests that had no effect and may succeed later. */
const refusedStatuses: ReadonlySet<number> = new Set([429, 503]);
/** Statuses with which a request may have had an effect behind the answering process. */
const gatewayStatuses: ReadonlySet<number> = new Set([502, 504]);
/** Codes of connect errors, after which the request was not sent. */
const notSentCodes: ReadonlySet<string> = new Set(["ECONNREFUSED", "EHOSTUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/**
 * Creates the HTTP client of one of the platform's services.
 *
 * A request that times out destroys its connection, so that an unresponsive connection is not used again.
 *
 * @param address Address of the service.
 * @returns The client.
 *
 * @example
 * const { status, content } = await client.call({ method: "GET", path: "/-/objects/config", timeoutMilliseconds: 1_000 });
 */
export function createHttpClient(address: Address): HttpClient {
    const origin = `http://${address.host}:${address.port}`;
    const agent = new Agent({
        connections: platformConstants.maximumHttpConnections,
        connect: { timeout: platformConstants.httpConnectTimeoutMilliseconds },
    });

    async function call(httpRequest: HttpRequest): Promise<HttpAnswer> {
        const { method, path, headers, body, timeoutMilliseconds } = httpRequest;
        const timeoutController = new AbortController();
        const timer = setTimeout(
            () => timeoutController.abort(new Error("no answer within the time limit")),
            timeoutMilliseconds,
        );
        let mayHaveTakenEffect = true;
        try {
            const response = await request(`${origin}${path}`, {
                method,
                headers: { ...body === undefined ? {} : { "content-type": "application/json" }, ...headers },
                body: body === undefined ? undefined : JSON.stringify(body),
                dispatcher: agent,
                signal: timeoutController.signal,
            });
            const text = await response.body.text();
            if (refusedStatuses.has(response.statusCode) || gatewayStatuses.has(response.statusCode)) {
                mayHaveTakenEffect = gatewayStatuses.has(response.statusCode);
                throw new Error(`status ${response.statusCode}`);
            }
            return { status: response.statusCode, headers: response.headers, content: parseBody(text) };
        }
        catch (cause) {
            const code = (cause as { readonly code?: string; }).code ?? "";
            const isUnknown = mayHaveTakenEffect && method !== "GET" && !notSentCodes.has(code);
            throw createError(
                isUnknown ? ErrorKind.OutcomeUnknown : ErrorKind.PlatformUnavailable,
                `${method} ${path} was not answered: ${(cause as Error).message}.`,
                {
                    remedy: isUnknown ? "Read the object to find out whether the write took effect." : "Retry later.",
                    cause,
                },
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
