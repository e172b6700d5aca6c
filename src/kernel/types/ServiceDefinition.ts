import type { ServiceName } from "./ServiceName.js";

/** Registration of a service: its name, the names of its dependencies, and the factory that creates it from them. */
export interface ServiceDefinition {
    readonly name: ServiceName;
    readonly dependencies: readonly ServiceName[];
    /** Creates the service; the arguments are the services named by `dependencies`, in that order. */
    readonly create: (...dependencies: never[]) => object;
}
