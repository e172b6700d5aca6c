import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { confirmationConstants } from "../constants.js";
import type { GroupWatch } from "../types/GroupWatch.js";
import { watchEndpointWithReconnects } from "../watchEndpointWithReconnects/index.js";

/** Options of `createGroupWatch`. */
interface GroupWatchOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly driver: EndpointDriver;
    readonly onStatus: () => void;
}

/**
 * Watches the statuses of all endpoints of one group, each in its own task.
 *
 * @param database Name of the group's database; statuses of any other are dropped.
 * @param endpoints The group's endpoints.
 * @param options Clock, random source, driver and the callback after a new status.
 * @returns The watch, already running.
 *
 * @example
 * const watch = createGroupWatch("stock", endpoints, { clock, random, driver, onStatus: resolveDecided });
 */
export function createGroupWatch(
    database: string,
    endpoints: readonly EndpointDefinition[],
    options: GroupWatchOptions,
): GroupWatch {
    const end = new AbortController();
    const statuses = new Map<string, EndpointStatus>();
    const connections = new Map<string, EndpointConnection>();
    const waiters = new Map(endpoints.map(({ name }) => [name, new Set<Waiter<EndpointConnection>>()]));
    const tasks = endpoints.map(watchEndpoint);

    async function watchEndpoint(endpoint: EndpointDefinition): Promise<void> {
        const onConnection = (connection: EndpointConnection | undefined): void =>
            recordConnection(endpoint.name, connection);
        for await (
            const status of watchEndpointWithReconnects(endpoint, { ...options, signal: end.signal, onConnection })
        ) {
            if (status.database === database && status.endpoint === endpoint.name) {
                statuses.set(endpoint.name, status);
                options.onStatus();
            }
        }
    }

    function recordConnection(endpoint: string, connection: EndpointConnection | undefined): void {
        if (connection === undefined) {
            connections.delete(endpoint);
            return;
        }
        connections.set(endpoint, connection);
        waiters.get(endpoint)!.forEach(waiter => waiter.resolve(connection));
        waiters.get(endpoint)!.clear();
    }

    function waitForConnection(endpoint: string): Promise<EndpointConnection> {
        const connection = connections.get(endpoint);
        if (connection !== undefined) {
            return Promise.resolve(connection);
        }
        const waiter = createWaiter<EndpointConnection>({
            clock: options.clock,
            timeoutMilliseconds: confirmationConstants.statusTimeoutMilliseconds,
            signal: end.signal,
            createTimeoutError: () =>
                createError(ErrorKind.Unreachable, `The watch of endpoint ${endpoint} is not connected.`, {
                    remedy: "Retry in a moment.",
                }),
            onTimeout: () => waiters.get(endpoint)?.delete(waiter),
        });
        waiters.get(endpoint)?.add(waiter);
        return waiter.promise;
    }

    async function readStatus(endpoint: string): Promise<EndpointStatus> {
        const connection = await waitForConnection(endpoint);
        return await connection.readStatus(confirmationConstants.statusTimeoutMilliseconds);
    }

    async function stop(): Promise<void> {
        end.abort();
        await Promise.all(tasks);
    }

    return { statuses: () => [...statuses.values()], readStatus, endpointCount: endpoints.length, stop };
}
