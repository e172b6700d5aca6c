import { checkPeerValue } from "../../dissemination/checkPeerValue/index.js";
import { trpc } from "../../transport/trpc/index.js";
import { forwardingSchemas } from "../forwardingSchemas.js";
import type { ForwardedStatement } from "../types/ForwardedStatement.js";
import type { SessionHost } from "../types/SessionHost.js";

/**
 * Creates the router with which other VMs forward their callers' sessions to this one, under `forwarding`.
 *
 * Each session is a subscription of the same duration, so either side is notified at once when the other closes it.
 *
 * @param host The sessions that this VM serves for others.
 * @returns The router.
 * @throws TarragonpostError of kind `InvalidRequest`, to the peer, when it sends something malformed.
 *
 * @example
 * const router = trpc.mergeRouters(createDutyRouter(duty, run, probe), createForwardingRouter(host));
 */
export function createForwardingRouter(host: SessionHost) {
    const open = trpc.procedure
        .input((input: unknown) => checkPeerValue(forwardingSchemas.database, input))
        .subscription(({ input, signal }) => host.open(input, signal));
    const run = trpc.procedure
        .input((input: unknown) => checkPeerValue(forwardingSchemas.statement, input) as ForwardedStatement)
        .mutation(({ input }) => host.run(input));
    return trpc.router({ forwarding: trpc.router({ open, run }) });
}
