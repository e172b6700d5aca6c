import type { ServiceName } from "./ServiceName.js";

/** A running set of services. */
export interface Kernel {
    /** Returns the service of that name. */
    get<T>(name: ServiceName): T;
    /** Starts every service in order of dependence. */
    start(): Promise<void>;
    /** Stops every service in the reverse order. */
    stop(): Promise<void>;
}
