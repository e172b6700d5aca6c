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
    const limit = ({ timeLeftMilliseconds }: { readonly timeLeftMilliseconds: number }) => ({
        signal: AbortSignal.timeout(Math.ceil(timeLeftMilliseconds + executionConstants.replyMarginMilliseconds / 2)),
    });
    return {
        execute: (gateway, request) => requestsOf(gateway).execute.mutate(request, limit(request)),
        lookUpRequestKey: (gateway, lookUp) => requestsOf(gateway).lookUp.mutate(lookUp, limit(lookUp)),
        readPosition: (gateway, request) =>
            peers.clientOf<FreshnessRouter>(gateway).freshness.readPosition.query(request, limit(request)),
        beginTransaction: (gateway, begin) => transactionsOf(gateway).begin.mutate(begin, limit(begin)),
        executeInTransaction: (gateway, statement) => transactionsOf(gateway).execute.mutate(statement, limit(statement)),
        endTransaction: (gateway, end) => transactionsOf(gateway).end.mutate(end, limit(end)),
    };
}
