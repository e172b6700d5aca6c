import type { EndpointDefinition } from "../types/EndpointDefinition.js";
import type { SystemConfiguration } from "../types/SystemConfiguration.js";

/**
 * Finds the definition of an endpoint.
 *
 * @param configuration The configuration in force.
 * @param database Name of the database; may come from outside.
 * @param endpoint Name of one of its endpoints; may come from outside.
 * @returns The definition, or undefined when the database has no such endpoint.
 *
 * @example
 * const definition = findDatabaseEndpoint(configuration.current().content, "stock", "stock-1");
 */
export function findDatabaseEndpoint(
    configuration: SystemConfiguration,
    database: string,
    endpoint: string,
): EndpointDefinition | undefined {
    if (!Object.hasOwn(configuration.databases, database)) {
        return undefined;
    }
    const endpoints = configuration.databases[database]!.endpoints;
    return Object.hasOwn(endpoints, endpoint) ? { name: endpoint, ...endpoints[endpoint]! } : undefined;
}
