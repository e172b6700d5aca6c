import type { SimulatedNetwork } from "../types/SimulatedNetwork.js";

/**
 * Creates the network as one simulated process uses it: a suspended process receives answers later, and a killed one none.
 * The calls that it has sent still arrive.
 *
 * @param network The network.
 * @param waitForProcess Resolves when the process runs; never once it was killed.
 * @returns The network of the process.
 *
 * @example
 * const processNetwork = createProcessNetwork(network, waitForProcess);
 */
export function createProcessNetwork(
    network: SimulatedNetwork,
    waitForProcess: () => Promise<void>,
): SimulatedNetwork {
    return {
        ...network,
        send: async (call, execute) => {
            await waitForProcess();
            try {
                return await network.send(call, execute);
            }
            finally {
                await waitForProcess();
            }
        },
    };
}
