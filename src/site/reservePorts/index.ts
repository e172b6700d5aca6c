import type { Socket } from "node:dgram";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { listCandidatePorts } from "../listCandidatePorts/index.js";
import { lockPort } from "../lockPort/index.js";
import type { PortReservation } from "../types/PortReservation.js";

/**
 * Reserves ports of the loopback interface for processes that are started later.
 *
 * A port that is merely found free can be taken by another process before the intended one listens on it, above all
 * when several test runs share the machine. A reserved port is given to no one else until it is released.
 *
 * @param count Number of ports.
 * @param candidates Ports to choose from, in this order.
 * @returns The ports, reserved until their release or the end of this process.
 * @throws TarragonpostError of kind `Unexpected` when too few candidates are free; nothing is then reserved.
 *
 * @example
 * const { ports, release } = await reservePorts(3);
 */
export async function reservePorts(
    count: number,
    candidates: Iterable<number> = listCandidatePorts(),
): Promise<PortReservation> {
    const locks = new Map<number, Socket>();

    async function release(): Promise<void> {
        const held = [...locks.values()];
        locks.clear();
        await Promise.all(held.map(lock => new Promise<void>(resolve => lock.close(resolve))));
    }

    for (const port of candidates) {
        if (locks.size === count) {
            break;
        }
        const lock = await lockPort(port);
        if (lock !== undefined) {
            locks.set(port, lock);
        }
    }
    const ports = [...locks.keys()];
    if (ports.length < count) {
        await release();
        throw createError(ErrorKind.Unexpected, `Only ${ports.length} of ${count} ports are free.`, {
            remedy: "End test runs that are no longer needed.",
        });
    }
    return { ports, release };
}
