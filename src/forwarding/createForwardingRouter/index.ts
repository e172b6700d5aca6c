import { checkPeerValue } from "../../dissemination/checkPeerValue/index.js";
import { trpc } from "../../transport/trpc/index.js";
import { forwardingSchemas } from "../forwardingSchemas.js";
import type { ForwardedStatement } from "../types/ForwardedStatement.js";
import type { SessionHost } from "../types/SessionHost.js";

/**
 * Creates the router with which other VMs forward their callers' sessions to this one, under `forwarding`.
 *
 * The host opens a session with its first statement. Sessions end with the connection between the VMs, and one
 * subscription a connection reports the sessions that the host has closed.
 *
 * @param host The sessions that this VM serves for others.
 * @returns The router.
 * @throws TarragonpostError of kind `InvalidRequest`, to the peer, when it sends something malformed.
 *
 * @example
 * const router = trpc.mergeRouters(createDutyRouter(duty, run, probe), createForwardingRouter(host));
 */
export function createForwardingRouter(host: SessionHost) {
    const watchClosed = trpc.procedure.subscription(({ ctx, signal }) => host.watchClosed(ctx.connectionEnd, signal));
    const close = trpc.procedure
        .input((input: unknown) => checkPeerValue(forwardingSchemas.sessionKeys, input))
        .mutation(({ input }) => host.close(input));
    const probe = trpc.procedure.query(() => true);
    const run = trpc.procedure
        .input((input: unknown) => checkPeerValue(forwardingSchemas.statement, input) as ForwardedStatement)
        .mutation(({ input, ctx }) => host.run(input, ctx.connectionEnd));
    return trpc.router({ forwarding: trpc.router({ watchClosed, run, close, probe }) });
}
