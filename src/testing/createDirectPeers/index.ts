import { createTRPCClient, type TRPCClient, TRPCClientError, type TRPCLink } from "@trpc/client";
import { type AnyTRPCRouter, callTRPCProcedure } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import type { PeerContext } from "../../transport/types/PeerContext.js";
import type { Peers } from "../../transport/types/Peers.js";

/** Options of `createDirectPeers`. */
interface DirectPeersOptions {
    /** Routers by port; filled by the test. */
    readonly routers: ReadonlyMap<number, AnyTRPCRouter>;
    /** Whether a call is delivered; other calls fail like calls of an unreachable peer. */
    readonly isDelivered?: (address: Address, path: string) => boolean;
}

/**
 * Creates peers for tests whose calls go directly to routers in the same process.
 *
 * @param caller Name and availability zone that this process presents to its peers.
 * @param options Routers by port, and which calls are delivered.
 * @returns The peers.
 *
 * @example
 * const peers = createDirectPeers({ peerName: "gateway-1", peerZone: "a" }, { routers });
 */
export function createDirectPeers(
    caller: Omit<PeerContext, "connectionEnd">,
    options: DirectPeersOptions,
): Peers {
    const context: PeerContext = { ...caller, connectionEnd: new AbortController().signal };

    async function call(address: Address, path: string, type: "query" | "mutation", input: unknown): Promise<unknown> {
        const router = options.routers.get(address.port);
        if (router === undefined || options.isDelivered?.(address, path) === false) {
            throw createError(ErrorKind.Unreachable, `The peer on port ${address.port} is unreachable.`, {
                remedy: "Retry later.",
            });
        }
        const getRawInput = async (): Promise<unknown> => structuredClone(input);
        return callTRPCProcedure({ router, path, type, ctx: context, getRawInput, signal: undefined, batchIndex: 0 });
    }

    function createLink(address: Address): TRPCLink<AnyTRPCRouter> {
        return () => ({ op }) =>
            observable(observer => {
                call(address, op.path, op.type as "query" | "mutation", op.input).then(data => {
                    observer.next({ result: { type: "data", data } });
                    observer.complete();
                }, error => observer.error(TRPCClientError.from(toTypedError(error))));
            });
    }

    function clientOf<Router extends AnyTRPCRouter>(address: Address): TRPCClient<Router> {
        return createTRPCClient<Router>({ links: [createLink(address) as unknown as TRPCLink<Router>] });
    }

    return { clientOf, stop: async () => {} };
}
