import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createBackoff } from "../../retries/createBackoff/index.js";
import { confirmationConstants } from "../constants.js";

/** Options of `watchEndpointWithReconnects`. */
interface WatchOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly driver: EndpointDriver;
    readonly signal: AbortSignal;
    /** Called with each opened connection, and with undefined when that connection is closed. */
    readonly onConnection: (connection: EndpointConnection | undefined) => void;
}

/**
 * Yields the statuses of one endpoint over a dedicated connection, which is opened again whenever it fails.
 *
 * @param endpoint The endpoint.
 * @param options Clock, random source, driver, the signal that ends the watch, and the callback for connections.
 * @returns The statuses, until the signal is aborted.
 *
 * @example
 * for await (const status of watchEndpointWithReconnects(endpoint, { clock, random, driver, signal, onConnection })) {
 *     record(status);
 * }
 */
export async function* watchEndpointWithReconnects(
    endpoint: EndpointDefinition,
    options: WatchOptions,
): AsyncGenerator<EndpointStatus, void, undefined> {
    const { clock, random, driver, signal, onConnection } = options;
    const createPauses = (): Generator<number, void, undefined> =>
        createBackoff(random, {
            initialMilliseconds: confirmationConstants.initialReconnectDelayMilliseconds,
            maximumMilliseconds: confirmationConstants.maximumReconnectDelayMilliseconds,
        });
    let pauses = createPauses();
    while (!signal.aborted) {
        try {
            const timeout = confirmationConstants.connectTimeoutMilliseconds;
            const connection = await driver.connect(endpoint.name, endpoint, timeout);
            try {
                onConnection(connection);
                for await (const status of connection.watchStatus(signal)) {
                    pauses = createPauses();
                    yield status;
                }
            }
            finally {
                onConnection(undefined);
                connection.close();
            }
        }
        catch {
            // Every failure is handled by opening a new connection.
        }
        await clock.sleep(pauses.next().value as number, signal);
    }
}
