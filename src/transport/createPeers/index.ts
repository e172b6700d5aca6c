import { createTRPCClient, type TRPCClient, TRPCClientError, type TRPCLink } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Address } from "../../network/types/Address.js";
import type { NetworkConditions } from "../../network/types/NetworkConditions.js";
import { openPeerConnection } from "../openPeerConnection/index.js";
import type { PeerConnection } from "../types/PeerConnection.js";
import type { PeerIdentity } from "../types/PeerIdentity.js";
import type { Peers } from "../types/Peers.js";

/**
 * Creates the clients through which a process calls its peers: tRPC over one framed connection per address.
 *
 * The first call opens a connection; the next call after it was closed opens a new one.
 *
 * @param identity Identity of this process in the handshake.
 * @param conditions The emulated network.
 * @param events Stamps outgoing messages and observes incoming ones.
 * @returns The peers service.
 *
 * @example
 * const answer = await peers.clientOf<RequestsRouter>(address).requests.execute.mutate(request);
 */
export function createPeers(identity: PeerIdentity, conditions: NetworkConditions, events: EventRecorder): Peers {
    const connections = new Map<string, Promise<PeerConnection>>();
    const clients = new Map<string, unknown>();

    function connectionTo(address: Address): Promise<PeerConnection> {
        const key = `${address.host}:${address.port}`;
        const existing = connections.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const opening = openPeerConnection(address, { identity, conditions, events });
        connections.set(key, opening);
        const removeConnection = (): void => {
            if (connections.get(key) === opening) {
                connections.delete(key);
            }
        };
        opening.then(connection => connection.closed).then(removeConnection, removeConnection);
        return opening;
    }

    function createFrameLink(address: Address): TRPCLink<AnyTRPCRouter> {
        return () => ({ op }) =>
            observable(observer => {
                let cancel = (): void => {};
                let isCancelled = false;
                const next = (data: unknown): void => observer.next({ result: { type: "data", data } });
                const fail = (error: unknown): void => observer.error(TRPCClientError.from(error as Error));
                connectionTo(address).then(connection => {
                    if (isCancelled) {
                        return;
                    }
                    if (op.type === "subscription") {
                        cancel = connection.subscribe(op.path, op.input, {
                            next,
                            error: fail,
                            complete: observer.complete,
                        });
                        return;
                    }
                    connection.call(op.type, op.path, op.input, op.signal ?? undefined).then(data => {
                        next(data);
                        observer.complete();
                    }, fail);
                }, fail);
                return () => {
                    isCancelled = true;
                    cancel();
                };
            });
    }

    function clientOf<Router extends AnyTRPCRouter>(address: Address): TRPCClient<Router> {
        const key = `${address.host}:${address.port}`;
        let client = clients.get(key);
        if (client === undefined) {
            client = createTRPCClient<Router>({ links: [createFrameLink(address) as unknown as TRPCLink<Router>] });
            clients.set(key, client);
        }
        return client as TRPCClient<Router>;
    }

    async function stop(): Promise<void> {
        const outcomes = await Promise.allSettled(connections.values());
        for (const connection of outcomes) {
            if (connection.status === "fulfilled") {
                connection.value.close();
            }
        }
    }

    return { clientOf, stop };
}
