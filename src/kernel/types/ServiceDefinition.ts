import type { ServiceName } from "./ServiceName.js";

/** One service of a binary: its name, the names it depends on, and the factory that builds it from them. */
export interface ServiceDefinition {
    readonly name: ServiceName;
    readonly dependencies: readonly ServiceName[];
    /** Builds the service; the arguments are the services named by `dependencies`, in that order. */
    readonly create: (...dependencies: never[]) => object;
}
