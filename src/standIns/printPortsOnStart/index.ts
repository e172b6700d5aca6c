import type { Service } from "../../kernel/types/Service.js";

/**
 * Wraps a service so that it prints one JSON line with its ports once it has started, for processes that wait for it.
 *
 * @param service The service.
 * @param readPorts Reads the ports that the service listens on.
 * @returns The wrapped service.
 *
 * @example
 * printPortsOnStart(endpoint, () => ({ port: endpoint.port(), adminPort: endpoint.adminPort() }));
 */
export function printPortsOnStart(service: Service, readPorts: () => Readonly<Record<string, number>>): Service {
    async function start(): Promise<void> {
        await service.start?.();
        process.stdout.write(`${JSON.stringify({ listening: true, ...readPorts() })}\n`);
    }

    return { start, stop: async () => service.stop?.() };
}
