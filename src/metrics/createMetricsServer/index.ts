import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { metricsConstants } from "../constants.js";
import type { Metrics } from "../types/Metrics.js";

/** Options of `createMetricsServer`. */
interface MetricsServerOptions {
    readonly host: string;
    /** 0 selects any free port. */
    readonly port: number;
    readonly metrics: Metrics;
    readonly log: LogTopic;
}

/** Serves the metrics over HTTP. */
interface MetricsServer {
    start(): Promise<void>;
    stop(): Promise<void>;
    /** The port that the server listens on, once started. */
    port(): number;
}

/**
 * Creates the HTTP server of the metrics. When the server cannot listen, the process continues without metrics.
 *
 * @param options Host, port, metrics and log.
 * @returns The server, not yet listening.
 *
 * @example
 * await createMetricsServer({ host: "127.0.0.1", port: 0, metrics, log }).start();
 */
export function createMetricsServer(options: MetricsServerOptions): MetricsServer {
    const { host, port, metrics, log } = options;
    let server: Server | undefined;

    async function answer(path: string | undefined): Promise<{ readonly status: number; readonly text: string; }> {
        return path === metricsConstants.path
            ? { status: 200, text: await metrics.render() }
            : { status: 404, text: `The metrics are at ${metricsConstants.path}.\n` };
    }

    async function start(): Promise<void> {
        server = createServer((request, response) => {
            void answer(request.url).then(({ status, text }) => {
                response.writeHead(status, { "content-type": "text/plain; version=0.0.4" });
                response.end(text);
            });
        });
        try {
            server.listen(port, host);
            await once(server, "listening");
        }
        catch (error) {
            log("metrics server could not listen; metrics are not served", {
                host,
                port,
                reason: (error as Error).message,
            });
        }
    }

    async function stop(): Promise<void> {
        server?.close();
        server?.closeAllConnections();
    }

    return { start, stop, port: () => (server?.address() as { port: number; }).port };
}
