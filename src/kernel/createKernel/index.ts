import { Container } from "inversify";
import { sortServices } from "../sortServices/index.js";
import type { Kernel } from "../types/Kernel.js";
import type { Service } from "../types/Service.js";
import type { ServiceDefinition } from "../types/ServiceDefinition.js";

/**
 * Creates a kernel from a list of service definitions.
 *
 * Services are singletons in one inversify container, bound by name. They are started in dependency order and stopped
 * in the reverse order. A failed start stops the services started before; after a failed stop the others still stop.
 *
 * @param definitions The services of one binary.
 * @returns The kernel, not yet started.
 * @throws TarragonpostError of kind `InvalidSettings` when a dependency is missing or circular.
 *
 * @example
 * const kernel = createKernel(entryServices(settings));
 * await kernel.start();
 */
export function createKernel(definitions: readonly ServiceDefinition[]): Kernel {
    const sorted = sortServices(definitions);
    const container = new Container({ defaultScope: "Singleton" });
    for (const definition of sorted) {
        container
            .bind<object>(definition.name)
            .toResolvedValue(definition.create as (...dependencies: object[]) => object, [...definition.dependencies]);
    }
    const startedServices: Service[] = [];

    async function start(): Promise<void> {
        for (const definition of sorted) {
            const service = container.get<Service>(definition.name);
            try {
                await service.start?.();
            }
            catch (error) {
                await stop();
                throw error;
            }
            startedServices.push(service);
        }
    }

    async function stop(): Promise<void> {
        let failure: unknown;
        for (let service = startedServices.pop(); service !== undefined; service = startedServices.pop()) {
            try {
                await service.stop?.();
            }
            catch (error) {
                failure ??= error;
            }
        }
        if (failure !== undefined) {
            throw failure;
        }
    }

    return { get: name => container.get(name), start, stop };
}
