import { once } from "node:events";
import { connect } from "node:net";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { siteConstants } from "../constants.js";
import type { SiteProcess } from "../types/SiteProcess.js";
import { waitForValue } from "../waitForValue/index.js";

/**
 * Waits until a process accepts connections.
 *
 * @param started The process.
 * @param address Address that the process will listen on.
 * @throws TarragonpostError of kind `Unexpected` when the process exits first, or `DeadlineExceeded`.
 *
 * @example
 * await waitForReadiness(gateway, vm.gateway);
 */
export async function waitForReadiness(started: SiteProcess, address: Address): Promise<void> {
    const exited = started.exited.then(outcome => {
        throw createError(
            ErrorKind.Unexpected,
            `${started.name} exited with ${outcome} during its start: ${started.output()}`,
            { remedy: "Correct the error shown in its output." },
        );
    });
    const listening = waitForValue(started.name, siteConstants.startTimeoutMilliseconds, async () => {
        const socket = connect(address.port, address.host);
        try {
            await once(socket, "connect");
            return true;
        }
        finally {
            socket.destroy();
        }
    });
    await Promise.race([exited, listening]);
}
