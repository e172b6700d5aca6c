import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import type { NetworkConditions } from "../../../network/types/NetworkConditions.js";
import { standInConstants } from "../../constants.js";
import { createEndpointAdmin } from "../createEndpointAdmin/index.js";
import { createEndpointCore } from "../createEndpointCore/index.js";
import { followPrimary } from "../followPrimary/index.js";
import { serveConnection } from "../serveConnection/index.js";
import { serveReplica } from "../serveReplica/index.js";
import type { EndpointStandIn } from "../types/EndpointStandIn.js";
import type { EndpointStandInSettings } from "../types/EndpointStandInSettings.js";

/**
 * Creates the stand-in of one database endpoint.
 *
 * @param settings Settings of the endpoint; port 0 selects a free port.
 * @param conditions The emulated network, applied to its replication.
 * @returns The stand-in, not yet listening.
 *
 * @example
 * const endpoint = createEndpointStandIn(settings, createUnemulatedNetwork(settings.availabilityZone));
 * await endpoint.start();
 */
export function createEndpointStandIn(
    settings: EndpointStandInSettings,
    conditions: NetworkConditions,
): EndpointStandIn {
    const core = createEndpointCore(settings);
    const { terms, switches, log } = core;
    const sockets = new Set<WebSocket>();
    const silencedSockets = new WeakSet<WebSocket>();
    let listeningPort = settings.listen.port;
    let server: Server | undefined;
    let lastFollowTarget = terms.followTarget();
    let isStopped = false;
    let transition = Promise.resolve();

    function accept(socket: WebSocket, path: string | undefined): void {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        if (path !== "/replication") {
            void serveConnection(socket, core, { isSilent: () => silencedSockets.has(socket) });
        }
        else if (switches.state.isCutFromPeers) {
            socket.terminate();
        }
        else {
            const unsubscribe = switches.onChange(() => {
                if (switches.state.isCutFromPeers) {
                    socket.terminate();
                }
            });
            void serveReplica(socket, { log, terms, switches }).finally(unsubscribe);
        }
    }

    async function listen(): Promise<void> {
        server = createServer();
        const webSocketServer = new WebSocketServer({
            server,
            maxPayload: standInConstants.maximumFrameBytes,
            perMessageDeflate: false,
        });
        webSocketServer.on("connection", (socket, request) => accept(socket, request.url));
        server.listen(listeningPort, settings.listen.host);
        await once(server, "listening");
        listeningPort = (server.address() as AddressInfo).port;
    }

    async function closeAll(): Promise<void> {
        const closing = server;
        server = undefined;
        if (closing === undefined) {
            return;
        }
        const closed = once(closing, "close");
        closing.close();
        closing.closeAllConnections();
        for (const socket of sockets) {
            socket.terminate();
        }
        await closed;
    }

    async function applyKillSwitch(): Promise<void> {
        const mustListen = !switches.state.isKilled && !isStopped;
        if (!mustListen) {
            terms.restart();
            await closeAll();
        }
        else if (server === undefined) {
            await listen();
        }
    }

    switches.onChange(() => {
        transition = transition.then(applyKillSwitch);
    });
    terms.onChange(() => {
        const followTarget = terms.followTarget();
        if (followTarget !== lastFollowTarget) {
            lastFollowTarget = followTarget;
            if (followTarget !== undefined) {
                void followPrimary(followTarget, {
                    endpoint: settings.name,
                    peers: settings.peers,
                    log,
                    terms,
                    switches,
                    conditions,
                    onPrimaryContact: core.recordPrimaryContact,
                });
            }
        }
    });
    const admin = createEndpointAdmin(core, { silence, waitForTransition: () => transition });

    function silence(): void {
        for (const socket of sockets) {
            silencedSockets.add(socket);
        }
    }

    async function start(): Promise<void> {
        await listen();
        await admin.listen({ host: settings.admin.host, port: settings.admin.port });
    }

    async function stop(): Promise<void> {
        isStopped = true;
        switches.set({ isFrozen: false });
        await transition;
        await admin.close();
    }

    return {
        core,
        port: () => listeningPort,
        adminPort: () => (admin.server.address() as AddressInfo).port,
        silence,
        start,
        stop,
    };
}
