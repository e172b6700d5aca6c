import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/** An endpoint driver whose connections to single endpoints a test can cut. */
interface CuttableDriver extends EndpointDriver {
    /** Closes the connections to the endpoint and refuses new ones, or permits new ones again. */
    cut(endpoint: string, isCut: boolean): void;
}

/**
 * Creates an endpoint driver for tests whose connections can be cut.
 *
 * @param driver The driver that opens the connections.
 * @returns The driver.
 *
 * @example
 * const driver = createCuttableDriver(createEndpointDriver(conditions));
 * driver.cut("stock-1", true);
 */
export function createCuttableDriver(driver: EndpointDriver): CuttableDriver {
    const cutEndpoints = new Set<string>();
    const open = new Map<string, Set<EndpointConnection>>();

    async function connect(...connectParameters: Parameters<EndpointDriver["connect"]>): Promise<EndpointConnection> {
        const [endpoint] = connectParameters;
        if (cutEndpoints.has(endpoint)) {
            throw createError(ErrorKind.Unreachable, `The connection to ${endpoint} is cut.`, {
                remedy: "End the cut.",
            });
        }
        const connection = await driver.connect(...connectParameters);
        const connections = open.get(endpoint) ?? new Set();
        open.set(endpoint, connections.add(connection));
        void connection.closed.then(() => connections.delete(connection));
        return connection;
    }

    function cut(endpoint: string, isCut: boolean): void {
        cutEndpoints.delete(endpoint);
        if (isCut) {
            cutEndpoints.add(endpoint);
            open.get(endpoint)?.forEach(connection => connection.close());
        }
    }

    return { connect, cut };
}
