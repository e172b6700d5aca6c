import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { GroupWatch } from "../types/GroupWatch.js";
import { watchEndpointStatus } from "../watchEndpointStatus/index.js";

/** Options of `createGroupWatch`. */
interface GroupWatchOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly driver: EndpointDriver;
    readonly onStatus: () => void;
}

/**
 * Watches the statuses of all endpoints of one group, each by a task of its own.
 *
 * @param database Name of the group's database; statuses of any other are dropped.
 * @param endpoints The group's endpoints.
 * @param options Clock, random source, driver and whom to tell of a new status.
 * @returns The watch, already running.
 *
 * @example
 * const watch = createGroupWatch("stock", endpoints, { clock, random, driver, onStatus: settle });
 */
export function createGroupWatch(
    database: string,
    endpoints: readonly EndpointDefinition[],
    options: GroupWatchOptions,
): GroupWatch {
    const end = new AbortController();
    const statuses = new Map<string, EndpointStatus>();
    const tasks = endpoints.map(watchOne);

    async function watchOne(endpoint: EndpointDefinition): Promise<void> {
        for await (const status of watchEndpointStatus(endpoint, { ...options, signal: end.signal })) {
            if (status.database === database && status.endpoint === endpoint.name) {
                statuses.set(endpoint.name, status);
                options.onStatus();
            }
        }
    }

    async function stop(): Promise<void> {
        end.abort();
        await Promise.all(tasks);
    }

    return { statuses: () => [...statuses.values()], endpointCount: endpoints.length, stop };
}
