import type { AdaptiveLimit } from "../../admission/types/AdaptiveLimit.js";
import type { LinkBudget } from "../../admission/types/LinkBudget.js";
import { LinkPriority } from "../../admission/types/LinkPriority.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { estimateBytes } from "../estimateBytes/index.js";
import type { GatewayClient } from "../types/GatewayClient.js";

/** Options of `createLimitedGatewayClient`. */
interface LimitedGatewayClientOptions {
    readonly localRegion: string;
    /** Creates the limit on requests in flight to one endpoint. */
    readonly createLimit: () => AdaptiveLimit;
    /** Creates the byte budget of the link to one region. */
    readonly createBudget: (region: string) => LinkBudget;
}

const priorities: Readonly<Record<RequestKind, LinkPriority>> = {
    [RequestKind.Read]: LinkPriority.Read,
    [RequestKind.Write]: LinkPriority.Write,
};

/**
 * Wraps a gateway client so that single-statement requests stay within the capacity of endpoints and region links.
 *
 * The limit on requests in flight to an endpoint adapts to its refusals. Bytes sent to another region count against
 * the budget of that link, writes before reads; a request that cannot be sent in time is refused at once.
 *
 * @param client The client to wrap; all other calls pass unchanged.
 * @param options The local region and how limits are created.
 * @returns The limited client.
 *
 * @example
 * const gateways = createLimitedGatewayClient(createGatewayClient(peers), { localRegion, createLimit, createBudget });
 */
export function createLimitedGatewayClient(
    client: GatewayClient,
    options: LimitedGatewayClientOptions,
): GatewayClient {
    const limits = new Map<string, AdaptiveLimit>();
    const budgets = new Map<string, LinkBudget>();

    function findOrCreate<T>(entries: Map<string, T>, key: string, create: () => T): T {
        let found = entries.get(key);
        if (found === undefined) {
            found = create();
            entries.set(key, found);
        }
        return found;
    }

    async function execute(gateway: PeerRecord, request: EndpointRequest): Promise<EndpointReply> {
        const limit = findOrCreate(limits, request.endpoint, options.createLimit);
        if (!limit.tryAcquire()) {
            return createNotRun(
                NotRunReason.Overloaded,
                `${request.endpoint} has reached this entry's limit of requests in flight. Retry later, with backoff.`,
            );
        }
        let wasRefused = false;
        try {
            const reply = await sendWithinBudget(gateway, request);
            wasRefused = reply.outcome === OutcomeKind.NotRun && reply.reason === NotRunReason.Overloaded;
            return reply;
        }
        finally {
            limit.release(wasRefused);
        }
    }

    async function sendWithinBudget(gateway: PeerRecord, request: EndpointRequest): Promise<EndpointReply> {
        if (gateway.region === options.localRegion) {
            return client.execute(gateway, request);
        }
        const budget = findOrCreate(budgets, gateway.region, () => options.createBudget(gateway.region));
        const bytes = estimateBytes(request.statement);
        try {
            await budget.reserve(priorities[request.kind], bytes, request.timeLeftMilliseconds);
        }
        catch (error) {
            if (isTypedError(error, ErrorKind.Overloaded)) {
                return createNotRun(NotRunReason.Overloaded, error.message);
            }
            throw error;
        }
        const reply = await client.execute(gateway, request);
        if (reply.outcome === OutcomeKind.Answer) {
            budget.adjust(estimateBytes(reply.result));
        }
        return reply;
    }

    return { ...client, execute };
}
