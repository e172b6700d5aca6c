import { directoryConstants } from "../../directory/constants.js";
import type { PlatformStore } from "../../directory/types/PlatformStore.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { SimulatedNetwork } from "../types/SimulatedNetwork.js";
import type { SimulatedStore } from "../types/SimulatedStore.js";

/** Options of `createSimulatedStoreClient`. */
interface SimulatedStoreClientOptions {
    readonly vmName: string;
    readonly network: SimulatedNetwork;
    readonly store: SimulatedStore;
    /** The only version of the operator's configuration. */
    readonly routingTable: RoutingTable;
}

/**
 * Creates the client with which one VM calls the store of a simulation.
 *
 * @param options The VM, the network and the store.
 * @returns The client.
 *
 * @example
 * const client = createSimulatedStoreClient({ vmName: "vm-1", network, store, routingTable });
 */
export function createSimulatedStoreClient(options: SimulatedStoreClientOptions): PlatformStore {
    const { vmName, network, store, routingTable } = options;

    function call<Result>(
        procedure: string,
        run: () => Result | Promise<Result>,
        waitMilliseconds = 0,
    ): Promise<Result> {
        const timeoutMilliseconds = directoryConstants.callTimeoutMilliseconds + waitMilliseconds;
        return network.send({ from: vmName, to: "store", procedure, timeoutMilliseconds }, async () => {
            store.requireAvailable(vmName);
            const result = await run();
            store.requireAvailable(vmName);
            return result;
        });
    }

    async function read<Result>(
        procedure: string,
        run: () => Result | Promise<Result>,
        waitMilliseconds?: number,
    ): Promise<Result> {
        return await call(procedure, run, waitMilliseconds).catch(error => {
            throw createFailure(ErrorKind.PlatformUnavailable, error);
        });
    }

    /** A write whose answer was lost may have taken effect, or may do so later. */
    async function write<Result>(procedure: string, run: () => Result): Promise<Result> {
        return await call(procedure, run).catch(error => {
            const { kind } = toTypedError(error);
            throw createFailure(kind === ErrorKind.DeadlineExceeded ? ErrorKind.OutcomeUnknown : kind, error);
        });
    }

    function createFailure(kind: ErrorKind, cause: unknown): Error {
        return createError(kind, `The store did not execute the call: ${(cause as Error).message}`, {
            remedy: "Retry later.",
            cause,
        });
    }

    const createTable = () => ({ name: "routing", ...store.version(), item: routingTable });
    return {
        endpoints: {
            list: () => read("list", () => ({ changes: store.listEndpoints(), ...store.version() })),
            waitForChanges: (revision, waitMilliseconds) =>
                read("watch", async () => {
                    if (revision > store.version().revision) {
                        return undefined;
                    }
                    await store.waitForChange(revision, waitMilliseconds);
                    return { changes: store.listChangesAfter(revision), ...store.version() };
                }, waitMilliseconds),
        },
        routingTables: {
            list: () => read("list", () => ({ changes: [createTable()], ...store.version() })),
            waitForChanges: (_revision, waitMilliseconds) =>
                read("watch", async () => {
                    await store.waitForChange(Infinity, waitMilliseconds);
                    return { changes: [], ...store.version() };
                }, waitMilliseconds),
        },
        records: {
            read: name => read("readRecord", () => store.readRecord(name)),
            create: (name, content) => write("createRecord", () => store.writeRecord(name, content, undefined)),
            replace: (name, content, revision) =>
                write("replaceRecord", () => store.writeRecord(name, content, revision)),
        },
        stop: async () => {},
    };
}
