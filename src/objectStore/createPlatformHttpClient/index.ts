import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { objectStoreConstants } from "../constants.js";
import type { PlatformAnswer } from "../types/PlatformAnswer.js";
import type { PlatformCall } from "../types/PlatformCall.js";

/** Options of `createPlatformHttpClient`. */
interface PlatformHttpClientOptions {
    /** Name of this process, under which the platform counts its calls. */
    readonly caller: string;
    readonly conditions: NetworkConditions;
    readonly timeoutMilliseconds: number;
}

/** Sends HTTP requests to the platform under the conditions of the emulated network. */
interface PlatformHttpClient {
    /** Fails with `PlatformUnavailable`, or with `OutcomeUnknown` if a write may have taken effect. */
    call(platformCall: PlatformCall): Promise<PlatformAnswer>;
    stop(): Promise<void>;
}

/** Codes of connect errors, after which the request was not sent. */
const notSentCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Creates the HTTP client for the platform. Every call ends within the timeout.
 *
 * @param address Address of the platform.
 * @param options Name of this process, network conditions and timeout of a call in milliseconds.
 * @returns The client.
 *
 * @example
 * const answer = await client.call({ method: "GET", path: "/vms" });
 */
export function createPlatformHttpClient(address: Address, options: PlatformHttpClientOptions): PlatformHttpClient {
    const { conditions, timeoutMilliseconds } = options;
    const { localZone } = conditions;
    const origin = `http://${address.host}:${address.port}`;
    let agent = new Agent();
    let agentOpenedAt = Date.now();

    const linkOut = () => conditions.linkBetween(localZone, address.availabilityZone);
    const linkIn = () => conditions.linkBetween(address.availabilityZone, localZone);

    function isSilent(): boolean {
        const silentSince = Math.max(linkOut().silentSince ?? 0, linkIn().silentSince ?? 0);
        return agentOpenedAt <= silentSince;
    }

    /** On an unresponsive connection a call waits until it times out; the next call opens a new connection. */
    async function waitWhileSilent(signal: AbortSignal): Promise<void> {
        if (!isSilent()) {
            return;
        }
        const silentAgent = agent;
        await sleep(timeoutMilliseconds, undefined, { signal }).finally(() => {
            if (agent === silentAgent) {
                void agent.destroy().catch(() => {});
                agent = new Agent();
                agentOpenedAt = Date.now();
            }
        });
    }

    function createFailure(platformCall: PlatformCall, wasSent: boolean, cause: unknown): Error {
        if (wasSent && platformCall.method === "PUT") {
            return createError(ErrorKind.OutcomeUnknown, `The answer to the write of ${platformCall.path} was lost.`, {
                remedy: "Read the object to find the outcome.",
                cause,
            });
        }
        return createError(ErrorKind.PlatformUnavailable, `The platform did not serve ${platformCall.path}.`, {
            remedy: "Retry later; until then the last known state stays in use.",
            cause,
        });
    }

    async function send(platformCall: PlatformCall, signal: AbortSignal): Promise<PlatformAnswer> {
        const { method, path, headers, body } = platformCall;
        const { headerBytes } = objectStoreConstants;
        conditions.countBytes(localZone, address.availabilityZone, headerBytes + Buffer.byteLength(body ?? ""));
        const response = await request(`${origin}${path}`, {
            method,
            headers: {
                "x-caller": options.caller,
                ...body === undefined ? {} : { "content-type": "application/json" },
                ...headers,
            },
            body,
            dispatcher: agent,
            signal,
        });
        const text = await response.body.text();
        conditions.countBytes(address.availabilityZone, localZone, headerBytes + Buffer.byteLength(text));
        return { status: response.statusCode, content: text === "" ? undefined : JSON.parse(text) };
    }

    async function call(platformCall: PlatformCall): Promise<PlatformAnswer> {
        const abort = new AbortController();
        const timer = setTimeout(() => abort.abort(new Error("timeout")), timeoutMilliseconds);
        const abortWhenCut = (): void => {
            if (linkOut().isCut || linkIn().isCut) {
                abort.abort(new Error("the link is cut"));
            }
        };
        const stopWatching = conditions.onChange(abortWhenCut);
        let wasSent = false;
        try {
            abortWhenCut();
            await sleep(linkOut().delayMilliseconds, undefined, { signal: abort.signal });
            wasSent = true;
            await waitWhileSilent(abort.signal);
            const answer = await send(platformCall, abort.signal);
            await waitWhileSilent(abort.signal);
            await sleep(linkIn().delayMilliseconds, undefined, { signal: abort.signal });
            if (answer.status === 503) {
                wasSent = false;
                throw new Error("status 503");
            }
            return answer;
        }
        catch (cause) {
            const code = (cause as { code?: string; }).code ?? "";
            throw createFailure(platformCall, wasSent && !notSentCodes.has(code), cause);
        }
        finally {
            clearTimeout(timer);
            stopWatching();
        }
    }

    return { call, stop: () => agent.destroy() };
}
