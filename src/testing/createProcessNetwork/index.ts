import type { SimulatedNetwork } from "../types/SimulatedNetwork.js";

/**
 * Creates the network as one simulated process uses it: once the process was killed, it receives no more answers. The
 * calls that it has sent still arrive.
 *
 * @param network The network.
 * @param isRunning Whether the process runs.
 * @returns The network of the process.
 *
 * @example
 * const processNetwork = createProcessNetwork(network, () => isRunning);
 */
export function createProcessNetwork(network: SimulatedNetwork, isRunning: () => boolean): SimulatedNetwork {
    async function waitWhileKilled(): Promise<void> {
        if (!isRunning()) {
            await new Promise<never>(() => {});
        }
    }

    return {
        ...network,
        send: async (call, execute) => {
            await waitWhileKilled();
            try {
                return await network.send(call, execute);
            }
            finally {
                await waitWhileKilled();
            }
        },
    };
}
