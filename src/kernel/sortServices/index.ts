import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { ServiceDefinition } from "../types/ServiceDefinition.js";
import type { ServiceName } from "../types/ServiceName.js";

/**
 * Sorts service definitions so that each comes after those it depends on.
 *
 * @param definitions The services of one binary, in any order.
 * @returns The same definitions in dependency order.
 * @throws TarragonpostError of kind `InvalidSettings` when a dependency is missing or circular.
 *
 * @example
 * sortServices([{ name: ServiceName.Events, dependencies: [ServiceName.Clock], create }, clockDefinition]);
 */
export function sortServices(definitions: readonly ServiceDefinition[]): ServiceDefinition[] {
    const definitionsByName = new Map(definitions.map(definition => [definition.name, definition]));
    const sorted = new Set<ServiceDefinition>();
    const visiting = new Set<ServiceName>();
    const visit = (name: ServiceName, dependent: string): void => {
        const definition = definitionsByName.get(name);
        if (definition === undefined) {
            throw createError(
                ErrorKind.InvalidSettings,
                `Service ${name}, required by ${dependent}, is not part of this binary.`,
                {
                    remedy: "Add its definition to the binary's list of services.",
                },
            );
        }
        if (sorted.has(definition)) {
            return;
        }
        if (visiting.has(name)) {
            throw createError(ErrorKind.InvalidSettings, `Service ${name} depends on itself.`, {
                remedy: "Remove one dependency of the cycle.",
            });
        }
        visiting.add(name);
        for (const dependency of definition.dependencies) {
            visit(dependency, name);
        }
        sorted.add(definition);
    };
    for (const definition of definitions) {
        visit(definition.name, "the binary");
    }
    return [...sorted];
}
