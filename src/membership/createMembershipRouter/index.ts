import { checkPeerValue } from "../../dissemination/checkPeerValue/index.js";
import { trpc } from "../../transport/trpc/index.js";
import { membershipSchemas } from "../membershipSchemas.js";
import type { IndirectProbe } from "../types/IndirectProbe.js";
import type { MembershipExchange } from "../types/MembershipExchange.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import type { ProbeMessage } from "../types/ProbeMessage.js";

/**
 * Creates the router through which gateways probe each other and exchange records, under `membership`.
 *
 * @param exchange The membership service.
 * @returns The router.
 * @throws TarragonpostError of kind `InvalidRequest`, sent to the peer, when a request is malformed.
 *
 * @example
 * const router = trpc.mergeRouters(createMembershipRouter(membership), createDisseminationRouter(dissemination));
 */
export function createMembershipRouter(exchange: MembershipExchange) {
    const probe = trpc.procedure
        .input((input: unknown): ProbeMessage => checkPeerValue(membershipSchemas.probe, input))
        .mutation(({ input, ctx }) => exchange.probe(input, ctx));
    const probeFor = trpc.procedure
        .input((input: unknown): IndirectProbe => checkPeerValue(membershipSchemas.indirectProbe, input))
        .query(({ input }) => exchange.probeFor(input));
    const join = trpc.procedure
        .input((input: unknown): PeerRecord => checkPeerValue(membershipSchemas.record, input))
        .mutation(({ input, ctx }) => exchange.join(input, ctx));
    const synchronize = trpc.procedure
        .input((input: unknown): number[] => checkPeerValue(membershipSchemas.digests, input))
        .query(({ input }) => exchange.synchronize(input));
    return trpc.router({ membership: trpc.router({ probe, probeFor, join, synchronize }) });
}
