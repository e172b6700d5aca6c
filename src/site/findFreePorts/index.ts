import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { siteConstants } from "../constants.js";

/**
 * Finds free ports on the loopback interface.
 *
 * All ports are bound at the same time before they are released, so they differ.
 *
 * @param count Number of ports.
 * @returns The ports.
 *
 * @example
 * const [port] = await findFreePorts(1);
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => createServer().listen(0, siteConstants.host));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
