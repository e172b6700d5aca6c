import type { EndpointDefinition } from "../types/EndpointDefinition.js";
import type { SystemConfiguration } from "../types/SystemConfiguration.js";

/** An endpoint with the database it belongs to. */
interface FoundEndpoint extends EndpointDefinition {
    readonly database: string;
}

/** Endpoints by name; built once for each configuration. */
const indexes = new WeakMap<SystemConfiguration, ReadonlyMap<string, FoundEndpoint>>();

/**
 * Finds an endpoint by its name, which is unique across all databases.
 *
 * @param content The configuration.
 * @param name Name of the endpoint.
 * @returns The endpoint's definition, or undefined if it is not configured.
 *
 * @example
 * const endpoint = findEndpoint(configuration.current().content, "stock-2");
 */
export function findEndpoint(content: SystemConfiguration, name: string): FoundEndpoint | undefined {
    let index = indexes.get(content);
    if (index === undefined) {
        index = new Map(listEndpoints(content));
        indexes.set(content, index);
    }
    return index.get(name);
}

function* listEndpoints(content: SystemConfiguration): Generator<[string, FoundEndpoint]> {
    for (const [database, definition] of Object.entries(content.databases)) {
        for (const [name, endpoint] of Object.entries(definition.endpoints)) {
            yield [name, { ...endpoint, name, database }];
        }
    }
}
