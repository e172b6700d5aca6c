import { once } from "node:events";
import { connect } from "node:net";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { siteConstants } from "../constants.js";
import type { SiteProcess } from "../types/SiteProcess.js";
import { waitUntil } from "../waitUntil/index.js";

/**
 * Waits until a process accepts connections.
 *
 * @param started The process.
 * @param address Where it is to listen.
 * @throws TarragonpostError of kind `Unexpected` when it ended first, or `DeadlineExceeded`.
 *
 * @example
 * await waitForReadiness(gateway, vm.gateway);
 */
export async function waitForReadiness(started: SiteProcess, address: Address): Promise<void> {
    const ended = started.exited.then(outcome => {
        throw createError(
            ErrorKind.Unexpected,
            `${started.name} ended with ${outcome} while it started: ${started.output()}`,
            { remedy: "Correct what its output names." },
        );
    });
    const listening = waitUntil(started.name, siteConstants.startTimeoutMilliseconds, async () => {
        const socket = connect(address.port, address.host);
        try {
            await once(socket, "connect");
            return true;
        }
        finally {
            socket.destroy();
        }
    });
    await Promise.race([ended, listening]);
}
