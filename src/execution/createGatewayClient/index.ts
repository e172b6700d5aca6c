import type { createFreshnessRouter } from "../../freshness/createFreshnessRouter/index.js";
import type { Address } from "../../network/types/Address.js";
import type { RequestsRouter } from "../../requests/types/RequestsRouter.js";
import type { TransactionsRouter } from "../../transactions/types/TransactionsRouter.js";
import type { Peers } from "../../transport/types/Peers.js";
import { executionConstants } from "../constants.js";
import type { GatewayClient } from "../types/GatewayClient.js";

type FreshnessRouter = ReturnType<typeof createFreshnessRouter>;

/**
 * Creates the client through which an entry calls gateways. Each call is aborted when its time limit has passed.
 *
 * @param peers Clients of other processes.
 * @returns The gateway client.
 *
 * @example
 * const reply = await createGatewayClient(peers).execute(owner, request);
 */
export function createGatewayClient(peers: Peers): GatewayClient {
    const getRequestsClient = (gateway: Address) => peers.clientOf<RequestsRouter>(gateway).requests;
    const getTransactionsClient = (gateway: Address) => peers.clientOf<TransactionsRouter>(gateway).transactions;
    return {
        execute: (gateway, request) =>
            callWithTimeout(request, signal => getRequestsClient(gateway).execute.mutate(request, { signal })),
        lookUpRequestKey: (gateway, lookUp) =>
            callWithTimeout(lookUp, signal => getRequestsClient(gateway).lookUp.mutate(lookUp, { signal })),
        readPosition: (gateway, request) =>
            callWithTimeout(
                request,
                signal => peers.clientOf<FreshnessRouter>(gateway).freshness.readPosition.query(request, { signal }),
            ),
        beginTransaction: (gateway, begin) =>
            callWithTimeout(begin, signal => getTransactionsClient(gateway).begin.mutate(begin, { signal })),
        executeInTransaction: (gateway, statement) =>
            callWithTimeout(statement, signal => getTransactionsClient(gateway).execute.mutate(statement, { signal })),
        endTransaction: (gateway, end) =>
            callWithTimeout(end, signal => getTransactionsClient(gateway).end.mutate(end, { signal })),
    };
}

/** Aborts the call after its time left and half the reply margin; the timer is cleared with the call. */
async function callWithTimeout<Reply>(
    { timeLeftMilliseconds }: { readonly timeLeftMilliseconds: number; },
    call: (signal: AbortSignal) => Promise<Reply>,
): Promise<Reply> {
    const abort = new AbortController();
    const limitMilliseconds = timeLeftMilliseconds + executionConstants.replyMarginMilliseconds / 2;
    const timer = setTimeout(() => abort.abort(executionConstants.abortReason), limitMilliseconds);
    try {
        return await call(abort.signal);
    }
    finally {
        clearTimeout(timer);
    }
}
