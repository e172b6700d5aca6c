import { Container } from "inversify";
import { setTimeout as sleep } from "node:timers/promises";
import { kernelConstants } from "../constants.js";
import { sortServices } from "../sortServices/index.js";
import type { Kernel } from "../types/Kernel.js";
import type { Service } from "../types/Service.js";
import type { ServiceDefinition } from "../types/ServiceDefinition.js";

/**
 * Creates a kernel from a list of service definitions.
 *
 * Services are singletons in one inversify container, bound by name. They are started in dependency order and stopped
 * in the reverse order. A failed start stops the services started before; after a failed stop the others still stop.
 * A stop during a start lets no further service start, and waits a limited time for the one whose start is under way.
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
    let startUnderWay: Promise<void> | undefined;
    let isStopping = false;

    async function start(): Promise<void> {
        for (const definition of sorted) {
            if (isStopping) {
                return;
            }
            const service = container.get<Service>(definition.name);
            startUnderWay = startService(service);
            try {
                await startUnderWay;
            }
            catch (error) {
                startUnderWay = undefined;
                await stop();
                throw error;
            }
            startUnderWay = undefined;
        }
    }

    async function startService(service: Service): Promise<void> {
        await service.start?.();
        startedServices.push(service);
    }

    /** `start` reports a failure of the start that is under way. */
    async function waitForStart(start: Promise<void>): Promise<void> {
        const ended = new AbortController();
        const { startTimeoutMilliseconds } = kernelConstants;
        await Promise.race([
            start.catch(() => {}),
            sleep(startTimeoutMilliseconds, undefined, { signal: ended.signal }).catch(() => {}),
        ]);
        ended.abort();
    }

    async function stop(): Promise<void> {
        isStopping = true;
        if (startUnderWay !== undefined) {
            await waitForStart(startUnderWay);
        }
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
