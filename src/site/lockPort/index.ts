import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import { siteConstants } from "../constants.js";

/**
 * Locks a port of the loopback interface, so that a process that is started later can listen on it.
 *
 * The lock is a datagram socket with the same number: it leaves the port free for a listener, only one process on the
 * machine can hold it, and the system ends it with the process.
 *
 * @param port The port.
 * @returns The lock, which does not keep this process running; undefined when the port is locked or in use.
 *
 * @example
 * const lock = await lockPort(20_001);
 * lock?.close();
 */
export async function lockPort(port: number): Promise<Socket | undefined> {
    const lock = createSocket("udp4");
    try {
        lock.bind({ port, address: siteConstants.host, exclusive: true });
        await once(lock, "listening");
        lock.unref();
        const server = createServer().listen({ port, host: siteConstants.host, exclusive: true });
        await once(server, "listening");
        await new Promise(resolve => server.close(resolve));
        return lock;
    }
    catch {
        lock.close();
        return undefined;
    }
}
