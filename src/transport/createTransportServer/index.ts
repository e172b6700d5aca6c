import type { AnyTRPCRouter } from "@trpc/server";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { createRepeatedLog } from "../../logging/createRepeatedLog/index.js";
import type { Logger } from "../../logging/types/Logger.js";
import { transportConstants } from "../constants.js";
import { createStrangerWatch } from "../createStrangerWatch/index.js";
import { servePeer } from "../servePeer/index.js";
import type { ServedPeer } from "../types/ServedPeer.js";

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
    /** Refuses new calls as not run, answers the accepted ones, and closes all connections, within a time limit. */
    stop(): Promise<void>;
    /** Paths of the accepted calls that are not answered yet. */
    describeWork(): readonly string[];
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
    const peers = new Set<ServedPeer>();
    let isStopping = false;
    const webSocketServer = new WebSocketServer({
        noServer: true,
        maxPayload: transportConstants.maximumFrameBytes,
        perMessageDeflate: false,
    });
    const httpServer = createServer((_request, response) => {
        response.writeHead(transportConstants.upgradeRequiredStatus).end();
    });
    const logStranger = createRepeatedLog(
        options.logger.topic("transport"),
        "connections of strangers closed",
        () => performance.now(),
    );
    const strangers = createStrangerWatch(reason => logStranger({ last: reason }));
    httpServer.on("connection", strangers.add);
    httpServer.on(
        "upgrade",
        (request, socket, head) =>
            webSocketServer.handleUpgrade(request, socket, head, webSocket => serve(webSocket, request.socket)),
    );

    function serve(socket: WebSocket, connection: Socket): void {
        const peer = servePeer(socket, { ...options, onProven: () => strangers.acquit(connection) });
        peers.add(peer);
        void peer.closed.then(() => peers.delete(peer));
        if (isStopping) {
            void peer.stop();
        }
    }

    async function start(): Promise<void> {
        isStopping = false;
        httpServer.listen(options.port, options.host);
        await once(httpServer, "listening");
    }

    async function stop(): Promise<void> {
        isStopping = true;
        const closed = new Promise<void>(resolve => httpServer.close(() => resolve()));
        const timer = setTimeout(terminate, transportConstants.stopTimeoutMilliseconds);
        await Promise.all([...peers].map(peer => peer.stop()));
        terminate();
        await closed;
        clearTimeout(timer);
    }

    /** Also ends connections that have not become one of a peer. */
    function terminate(): void {
        peers.forEach(peer => peer.terminate());
        httpServer.closeAllConnections();
    }

    return {
        port: () => (httpServer.address() as AddressInfo).port,
        start,
        stop,
        describeWork: () => [...peers].flatMap(peer => peer.describeWork()),
    };
}
