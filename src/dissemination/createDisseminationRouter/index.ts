import { trpc } from "../../transport/trpc/index.js";
import { checkPeerValue } from "../checkPeerValue/index.js";
import { recordSchemas } from "../recordSchemas.js";
import type { DisseminatedRecord } from "../types/DisseminatedRecord.js";
import type { DisseminationExchange } from "../types/DisseminationExchange.js";
import type { KindDigest } from "../types/KindDigest.js";
import type { PullRequest } from "../types/PullRequest.js";

/**
 * Creates the router through which peers push, compare and pull records, under `dissemination`.
 *
 * @param exchange The dissemination service.
 * @returns The router.
 * @throws TarragonpostError of kind `InvalidRequest`, sent to the peer, when a request is malformed.
 *
 * @example
 * const router = trpc.mergeRouters(createDisseminationRouter(dissemination), createFailoverRouter(failover));
 */
export function createDisseminationRouter(exchange: DisseminationExchange) {
    const push = trpc.procedure
        .input((input: unknown): DisseminatedRecord[] => checkPeerValue(recordSchemas.records, input))
        .mutation(({ input, ctx }) => exchange.receive(input, ctx.peerName));
    const compare = trpc.procedure
        .input((input: unknown): KindDigest[] => checkPeerValue(recordSchemas.digests, input))
        .query(({ input }) => exchange.compare(input));
    const pull = trpc.procedure
        .input((input: unknown): PullRequest => checkPeerValue(recordSchemas.pullRequest, input))
        .query(({ input }) => exchange.pull(input));
    return trpc.router({ dissemination: trpc.router({ push, compare, pull }) });
}
