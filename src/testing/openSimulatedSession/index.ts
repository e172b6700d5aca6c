import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { SimulatedEndpoints } from "../types/SimulatedEndpoints.js";
import type { SimulatedNetwork } from "../types/SimulatedNetwork.js";

/** Options of `openSimulatedSession`. */
interface SimulatedSessionOptions {
    /** Name of the VM that opens the session. */
    readonly vmName: string;
    readonly endpoint: EndpointRecord;
    readonly timeoutMilliseconds: number;
    readonly network: SimulatedNetwork;
    readonly endpoints: SimulatedEndpoints;
}

/**
 * Opens a session on an endpoint of a simulation.
 *
 * @param options The VM, the endpoint, the time limit in milliseconds, and the network.
 * @returns The session.
 * @throws TarragonpostError of kind `Unreachable` or `DeadlineExceeded`.
 *
 * @example
 * const session = await openSimulatedSession({ vmName: "vm-1", endpoint, timeoutMilliseconds: 500, network, endpoints });
 */
export async function openSimulatedSession(options: SimulatedSessionOptions): Promise<EndpointSession> {
    const { vmName, endpoint: { id }, network, endpoints } = options;
    const closeListeners: (() => void)[] = [];
    let position: LogPosition | undefined;
    let isClosed = false;

    function requireRunning(): number {
        const { isRunning, startedAt } = endpoints.get(id);
        if (!isRunning) {
            throw createError(ErrorKind.Unreachable, `Endpoint ${id} is not running.`, { remedy: "Retry later." });
        }
        return startedAt;
    }

    function call<Result>(procedure: string, timeoutMilliseconds: number, run: () => Result): Promise<Result> {
        return network.send({ from: vmName, to: id, procedure, timeoutMilliseconds }, run);
    }

    function close(): void {
        if (!isClosed) {
            isClosed = true;
            closeListeners.forEach(listener => listener());
        }
    }

    const openedAt = await call("open", options.timeoutMilliseconds, requireRunning);
    return {
        get position() {
            return position;
        },
        get isClosed() {
            return isClosed;
        },
        exchange: async (statements, timeoutMilliseconds) => {
            try {
                const answers = await call(statements.at(-1)!.kind, timeoutMilliseconds, () => {
                    if (requireRunning() !== openedAt) {
                        throw new Error("the endpoint has restarted");
                    }
                    return endpoints.run(id, statements);
                });
                position = answers.at(-1)?.position;
                return answers;
            }
            catch (error) {
                close();
                const { kind, message } = toTypedError(error);
                throw createError(
                    kind === ErrorKind.DeadlineExceeded ? kind : ErrorKind.ConnectionClosed,
                    `The connection to ${id} broke: ${message}`,
                    { remedy: "Statements that were sent may have been executed." },
                );
            }
        },
        close,
        onClose: listener => closeListeners.push(listener),
    };
}
