import type { EndpointDefinition } from "../types/EndpointDefinition.js";
import type { SystemConfiguration } from "../types/SystemConfiguration.js";

/**
 * Finds the definition of an endpoint.
 *
 * @param configuration The configuration in force.
 * @param database Name of the database, possibly from an unchecked request.
 * @param endpoint Name of one of its endpoints, possibly from an unchecked request.
 * @returns The definition, or undefined if there is no such database or endpoint.
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
