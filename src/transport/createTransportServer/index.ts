import type { AnyTRPCRouter } from "@trpc/server";
import { once } from "node:events";
import { type AddressInfo, WebSocketServer } from "ws";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Logger } from "../../logging/types/Logger.js";
import { transportConstants } from "../constants.js";
import { servePeer } from "../servePeer/index.js";

/** Options of `createTransportServer`. */
interface TransportServerOptions {
    readonly host: string;
    /** Port to listen on; 0 selects any free port. */
    readonly port: number;
    readonly peerSecret: string;
    readonly router: AnyTRPCRouter;
    readonly events: EventRecorder;
    readonly logger: Logger;
}

/** The server for connections from other processes. */
interface TransportServer {
    /** The port it listens on, once started. */
    port(): number;
    start(): Promise<void>;
    stop(): Promise<void>;
}

/**
 * Creates the server that answers the calls of other processes with a tRPC router.
 *
 * @param options Address, shared secret, the router, events and logger.
 * @returns The server, not yet listening.
 *
 * @example
 * const server = createTransportServer({ host: "127.0.0.1", port: 0, peerSecret, router, events, logger });
 * await server.start();
 */
export function createTransportServer(options: TransportServerOptions): TransportServer {
    let server: WebSocketServer | undefined;

    async function start(): Promise<void> {
        server = new WebSocketServer({
            host: options.host,
            port: options.port,
            maxPayload: transportConstants.maximumFrameBytes,
            perMessageDeflate: false,
        });
        server.on("connection", socket => servePeer(socket, options));
        await once(server, "listening");
    }

    async function stop(): Promise<void> {
        for (const socket of server?.clients ?? []) {
            socket.terminate();
        }
        await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    }

    return { port: () => (server?.address() as AddressInfo).port, start, stop };
}
