import { once } from "node:events";
import { type AddressInfo, WebSocketServer } from "ws";
import type { NetworkState } from "../types/NetworkState.js";

/** A running server that publishes the state of the emulated network. */
interface NetworkStateServer {
    port(): number;
    stop(): Promise<void>;
}

/**
 * Publishes the emulated network: sends the whole state to each process when it connects and after each change.
 *
 * @param network The state.
 * @param listen Host and port; port 0 selects a free port.
 * @returns The running server.
 *
 * @example
 * const server = await serveNetworkState(network, { host: "127.0.0.1", port: 0 });
 */
export async function serveNetworkState(
    network: NetworkState,
    listen: { readonly host: string; readonly port: number; },
): Promise<NetworkStateServer> {
    const server = new WebSocketServer({ host: listen.host, port: listen.port, perMessageDeflate: false });
    server.on("connection", socket => {
        socket.on("error", () => socket.terminate());
        socket.send(JSON.stringify(network.list()));
    });
    const unsubscribe = network.onChange(() => {
        const state = JSON.stringify(network.list());
        for (const socket of server.clients) {
            socket.send(state);
        }
    });
    await once(server, "listening");

    async function stop(): Promise<void> {
        unsubscribe();
        for (const socket of server.clients) {
            socket.terminate();
        }
        await new Promise<void>(resolve => server.close(() => resolve()));
    }

    return { port: () => (server.address() as AddressInfo).port, stop };
}
