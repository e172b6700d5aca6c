import { once } from "node:events";
import { createServer } from "node:http";
import type { Address } from "../../network/types/Address.js";

/** An HTTP server that answers the platform's readiness probe. */
interface ReadinessServer {
    stop(): void;
}

/**
 * Serves the platform's readiness probe: status 200 when ready, otherwise 503.
 *
 * @param address Address to listen on.
 * @param isReady Returns whether this VM accepts new connections; called for each probe.
 * @returns The server, after it has started to listen.
 * @throws Error when listening on the address fails.
 *
 * @example
 * const server = await serveReadiness(settings.readinessAddress, () => readiness.isReady());
 */
export async function serveReadiness(address: Address, isReady: () => boolean): Promise<ReadinessServer> {
    const server = createServer((request, response) => {
        const isProbe = request.url === "/-/readiness";
        response.writeHead(isProbe ? (isReady() ? 200 : 503) : 404, { "content-length": 0 });
        response.end();
    });
    server.listen(address.port, address.host);
    await once(server, "listening");
    return {
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
