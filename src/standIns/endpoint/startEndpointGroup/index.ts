import { createEndpointDriver } from "../../../endpoints/createEndpointDriver/index.js";
import type { EndpointConnection } from "../../../endpoints/types/EndpointConnection.js";
import { createUnemulatedNetwork } from "../../../network/createUnemulatedNetwork/index.js";
import type { Address } from "../../../network/types/Address.js";
import { createEndpointStandIn } from "../createEndpointStandIn/index.js";
import type { EndpointStandIn } from "../types/EndpointStandIn.js";
import type { EndpointStandInSettings } from "../types/EndpointStandInSettings.js";

/** A group of three endpoint stand-ins in this process, with a connection to each. */
interface EndpointGroup {
    readonly endpoints: Readonly<Record<string, EndpointStandIn>>;
    readonly connections: Readonly<Record<string, EndpointConnection>>;
    addressOf(endpoint: string): Address;
    stop(): Promise<void>;
}

/**
 * Starts a group of three endpoint stand-ins in this process: stock-1, stock-2 and stock-3, all detached.
 *
 * @param settings Settings that differ from the defaults.
 * @returns The running group.
 *
 * @example
 * const group = await startEndpointGroup({ connectionLimit: 2 });
 */
export async function startEndpointGroup(settings: Partial<EndpointStandInSettings> = {}): Promise<EndpointGroup> {
    const names = ["stock-1", "stock-2", "stock-3"];
    const conditions = createUnemulatedNetwork("a");
    const peers: Record<string, Address> = {};
    const endpoints: Record<string, EndpointStandIn> = {};
    const connections: Record<string, EndpointConnection> = {};
    const driver = createEndpointDriver(conditions);
    for (const name of names) {
        const endpoint = createEndpointStandIn({
            name,
            database: "stock",
            availabilityZone: "a",
            listen: { host: "127.0.0.1", port: 0 },
            admin: { host: "127.0.0.1", port: 0 },
            peers,
            slots: 3,
            connectionLimit: 20,
            connectMilliseconds: 0,
            serviceMilliseconds: 0,
            serviceJitterShare: 0,
            randomSeed: 1,
            ...settings,
        }, conditions);
        await endpoint.start();
        endpoints[name] = endpoint;
        peers[name] = { host: "127.0.0.1", port: endpoint.port(), availabilityZone: "a" };
        connections[name] = await driver.connect(name, peers[name], 1_000);
    }

    async function stop(): Promise<void> {
        for (const connection of Object.values(connections)) {
            connection.close();
        }
        for (const endpoint of Object.values(endpoints)) {
            await endpoint.stop();
        }
    }

    return { endpoints, connections, addressOf: name => peers[name] as Address, stop };
}
