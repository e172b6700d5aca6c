import { z } from "zod";
import { trpc } from "../../transport/trpc/index.js";
import type { FailoverService } from "../types/FailoverService.js";
import { SuspicionReason } from "../types/SuspicionReason.js";

const name = z.string().min(1).max(256);
const suspicionSchema = z.object({
    database: name,
    endpoint: name,
    term: z.number().int().nonnegative(),
    reason: z.enum(SuspicionReason),
    /** Whether a gateway forwarded the report, so that it is not forwarded again. */
    isForwarded: z.boolean().optional(),
});

/**
 * Creates the router for suspicion reports and for calls between gateways, with its procedures under `failover`.
 *
 * @param service The failover service.
 * @returns The router.
 *
 * @example
 * const router = trpc.mergeRouters(createFailoverRouter(failover), createDisseminationRouter(dissemination));
 */
export function createFailoverRouter(
    service: Pick<FailoverService, "reportSuspicion" | "handleSuspicion" | "probeEndpoint" | "handOver" | "state">,
) {
    const report = trpc.procedure.input(suspicionSchema).mutation(({ input: { isForwarded, ...suspicion } }) =>
        isForwarded === true ? service.handleSuspicion(suspicion) : service.reportSuspicion(suspicion)
    );
    const probeEndpoint = trpc.procedure.input(z.object({ endpoint: name })).query(({ input }) =>
        service.probeEndpoint(input.endpoint)
    );
    const handOver = trpc.procedure.input(z.object({ database: name })).mutation(({ input }) =>
        service.handOver(input.database)
    );
    const state = trpc.procedure.query(() => service.state());
    return trpc.router({ failover: trpc.router({ report, probeEndpoint, handOver, state }) });
}
