import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { platformConstants } from "../constants.js";
import type { PlatformAnswer } from "../types/PlatformAnswer.js";
import type { PlatformCall } from "../types/PlatformCall.js";

/** Options of `createPlatformCaller`. */
interface PlatformCallerOptions {
    /** Name of this process, by which the platform counts its calls. */
    readonly caller: string;
    readonly conditions: NetworkConditions;
    readonly timeoutMilliseconds: number;
}

/** Makes HTTP calls to the platform through the emulated network. */
interface PlatformCaller {
    /** Fails with `PlatformUnavailable`, or with `OutcomeUnknown` when a write may have taken effect. */
    call(platformCall: PlatformCall): Promise<PlatformAnswer>;
    stop(): Promise<void>;
}

const notSentCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Creates the caller of the platform's HTTP interface. A call is over within the time limit, whatever happens.
 *
 * @param address Where the platform listens.
 * @param options Name of this process, network conditions and the time limit of a call in milliseconds.
 * @returns The caller.
 *
 * @example
 * const answer = await caller.call({ method: "GET", path: "/vms" });
 */
export function createPlatformCaller(address: Address, options: PlatformCallerOptions): PlatformCaller {
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

    /** On a silent connection nothing arrives until the call times out; the next call opens a new one. */
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

    function failure(platformCall: PlatformCall, wasSent: boolean, cause: unknown): Error {
        if (wasSent && platformCall.method === "PUT") {
            return createError(ErrorKind.OutcomeUnknown, `The answer to the write of ${platformCall.path} was lost.`, {
                remedy: "Read the object to learn the outcome.",
                cause,
            });
        }
        return createError(ErrorKind.PlatformUnavailable, `The platform did not serve ${platformCall.path}.`, {
            remedy: "Retry later; the system goes on with what it knows.",
            cause,
        });
    }

    async function send(platformCall: PlatformCall, signal: AbortSignal): Promise<PlatformAnswer> {
        const { method, path, headers, body } = platformCall;
        const { headerBytes } = platformConstants;
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
            throw failure(platformCall, wasSent && !notSentCodes.has(code), cause);
        }
        finally {
            clearTimeout(timer);
            stopWatching();
        }
    }

    return { call, stop: () => agent.destroy() };
}
