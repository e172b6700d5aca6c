import type { EndpointDefinition } from "../types/EndpointDefinition.js";
import type { SystemConfiguration } from "../types/SystemConfiguration.js";

/** An endpoint with the database it belongs to. */
interface FoundEndpoint extends EndpointDefinition {
    readonly database: string;
}

/**
 * Finds an endpoint by its name, which is unique over all databases.
 *
 * @param content The configuration.
 * @param name Name of the endpoint.
 * @returns Its definition, or undefined when it is not configured.
 *
 * @example
 * const endpoint = findEndpoint(configuration.current().content, "stock-2");
 */
export function findEndpoint(content: SystemConfiguration, name: string): FoundEndpoint | undefined {
    for (const [database, definition] of Object.entries(content.databases)) {
        const endpoint = definition.endpoints[name];
        if (endpoint !== undefined) {
            return { ...endpoint, name, database };
        }
    }
    return undefined;
}
