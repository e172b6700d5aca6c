import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import type { Clock } from "../../clock/types/Clock.js";
import { soakConstants } from "../constants.js";
import type { FaultyProxy } from "../types/FaultyProxy.js";
import { LinkMode } from "../types/LinkMode.js";

/**
 * Starts a TCP proxy that forwards bytes to a server, and can delay them, hold them back or reset its connections.
 *
 * @param host Address of the server.
 * @param port Its port.
 * @param clock Measures delays.
 * @returns The proxy, listening on a free port of 127.0.0.1.
 *
 * @example
 * const link = await createFaultyProxy("127.0.0.1", store.port, clock);
 * link.mode = LinkMode.Cut;
 */
export async function createFaultyProxy(host: string, port: number, clock: Clock): Promise<FaultyProxy> {
    const sockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, callerSocket => {
        const serverSocket = connect({ host, port, noDelay: true });
        forward(callerSocket, serverSocket, () => proxy.mode === LinkMode.Cut);
        forward(serverSocket, callerSocket, () => proxy.mode !== LinkMode.Passing);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");

    const proxy: FaultyProxy = {
        port: (server.address() as { port: number; }).port,
        mode: LinkMode.Passing,
        delayMilliseconds: 0,
        reset: () => sockets.forEach(socket => socket.resetAndDestroy()),
        stop: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
    return proxy;

    /** Forwards bytes in one direction; the end of the connection is delayed and held back like bytes. */
    function forward(from: Socket, to: Socket, isCut: () => boolean): void {
        let previous = Promise.resolve();
        const enqueue = (deliver: () => void): void => {
            previous = previous.then(async () => {
                await clock.sleep(proxy.delayMilliseconds);
                while (isCut() && !to.destroyed) {
                    await clock.sleep(soakConstants.pollingMilliseconds);
                }
                deliver();
            });
        };
        sockets.add(from);
        from.on("data", chunk => enqueue(() => to.writable && to.write(chunk)));
        from.on("end", () => enqueue(() => to.end()));
        // The event "close" follows an error, and resets the connection on the other side.
        from.on("error", () => from.destroy());
        from.on("close", hasFailed => {
            sockets.delete(from);
            enqueue(() => hasFailed ? to.resetAndDestroy() : to.destroySoon());
        });
    }
}
