import { once } from "node:events";
import { createServer } from "node:http";
import type { Address } from "../../network/types/Address.js";

/** A server that answers the platform's question whether this VM takes new connections. */
interface ReadinessServer {
    stop(): void;
}

/**
 * Answers the platform's readiness probe.
 *
 * @param address Where to listen.
 * @param isReady Whether this VM takes new connections; read at each question.
 * @returns The server, once it listens.
 * @throws Error when the address cannot be used.
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
