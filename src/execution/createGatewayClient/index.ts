import type { createFreshnessRouter } from "../../freshness/createFreshnessRouter/index.js";
import type { Address } from "../../network/types/Address.js";
import type { RequestsRouter } from "../../requests/types/RequestsRouter.js";
import type { TransactionsRouter } from "../../transactions/types/TransactionsRouter.js";
import type { Peers } from "../../transport/types/Peers.js";
import { executionConstants } from "../constants.js";
import type { GatewayClient } from "../types/GatewayClient.js";

type FreshnessRouter = ReturnType<typeof createFreshnessRouter>;

/**
 * Creates an entry's calls to gateways. Each is abandoned when its time is over.
 *
 * @param peers Clients of other processes.
 * @returns The gateway client.
 *
 * @example
 * const reply = await createGatewayClient(peers).execute(owner, request);
 */
export function createGatewayClient(peers: Peers): GatewayClient {
    const requestsOf = (gateway: Address) => peers.clientOf<RequestsRouter>(gateway).requests;
    const transactionsOf = (gateway: Address) => peers.clientOf<TransactionsRouter>(gateway).transactions;
    return {
        execute: (gateway, request) =>
            callWithin(request, signal => requestsOf(gateway).execute.mutate(request, { signal })),
        lookUpRequestKey: (gateway, lookUp) =>
            callWithin(lookUp, signal => requestsOf(gateway).lookUp.mutate(lookUp, { signal })),
        readPosition: (gateway, request) =>
            callWithin(
                request,
                signal => peers.clientOf<FreshnessRouter>(gateway).freshness.readPosition.query(request, { signal }),
            ),
        beginTransaction: (gateway, begin) =>
            callWithin(begin, signal => transactionsOf(gateway).begin.mutate(begin, { signal })),
        executeInTransaction: (gateway, statement) =>
            callWithin(statement, signal => transactionsOf(gateway).execute.mutate(statement, { signal })),
        endTransaction: (gateway, end) =>
            callWithin(end, signal => transactionsOf(gateway).end.mutate(end, { signal })),
    };
}

/** Abandons the call when its time is over; the timer ends with the call. */
async function callWithin<Reply>(
    { timeLeftMilliseconds }: { readonly timeLeftMilliseconds: number; },
    call: (signal: AbortSignal) => Promise<Reply>,
): Promise<Reply> {
    const abort = new AbortController();
    const limitMilliseconds = timeLeftMilliseconds + executionConstants.replyMarginMilliseconds / 2;
    const timer = setTimeout(() => abort.abort(executionConstants.abandonedReason), limitMilliseconds);
    try {
        return await call(abort.signal);
    }
    finally {
        clearTimeout(timer);
    }
}
