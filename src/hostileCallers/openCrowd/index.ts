import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Address } from "../../network/types/Address.js";
import { hostileCallerConstants } from "../constants.js";
import type { Crowd } from "../types/Crowd.js";

/** Options of `openCrowd`. */
interface CrowdOptions {
    readonly count: number;
    /** Whether the clients take what they are sent; they do when left out. */
    readonly isReading?: boolean;
    /** What each client does once it is connected. */
    readonly begin?: (socket: Socket) => void;
}

/**
 * Connects clients that do not behave. A connection that is refused or reset stays ended.
 *
 * @param address Address of the server.
 * @param options Number of the clients and what they do.
 * @returns The crowd, after each connection has been opened or refused.
 *
 * @example
 * const crowd = await openCrowd(vm.callerAddress, { count: 60, begin: socket => socket.write("STARTUP shop") });
 */
export async function openCrowd(address: Pick<Address, "host" | "port">, options: CrowdOptions): Promise<Crowd> {
    const { count, isReading = true, begin } = options;
    const sockets = await Promise.all(Array.from({ length: count }, open));

    function open(): Promise<Socket> {
        const socket = connect({ host: address.host, port: address.port, noDelay: true });
        if (isReading) {
            socket.resume();
        }
        else {
            socket.pause();
        }
        socket.on("error", () => socket.destroy());
        return new Promise(resolve => {
            socket.once("connect", () => {
                begin?.(socket);
                resolve(socket);
            });
            socket.once("close", () => resolve(socket));
        });
    }

    async function settled(): Promise<void> {
        const { quietMilliseconds, samplingMilliseconds } = hostileCallerConstants;
        let passedBytes = 0;
        let changedAt = performance.now();
        while (performance.now() - changedAt < quietMilliseconds && sockets.some(socket => !socket.destroyed)) {
            const bytes = countPassedBytes(sockets);
            if (bytes !== passedBytes) {
                passedBytes = bytes;
                changedAt = performance.now();
            }
            await sleep(samplingMilliseconds);
        }
    }

    return {
        sockets,
        openCount: () => sockets.filter(socket => !socket.destroyed && socket.readable).length,
        settled,
        stop: () => sockets.forEach(socket => socket.destroy()),
    };
}

/** Bytes that the operating system has taken or given on all connections. */
function countPassedBytes(sockets: readonly Socket[]): number {
    return sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten - socket.writableLength, 0);
}
