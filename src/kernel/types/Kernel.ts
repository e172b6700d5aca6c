import type { ServiceName } from "./ServiceName.js";

/** Creates, starts and stops the services of one binary. */
export interface Kernel {
    /** Returns the service of that name. */
    get<T>(name: ServiceName): T;
    /** Starts every service in dependency order. */
    start(): Promise<void>;
    /** Stops every service in the reverse order. */
    stop(): Promise<void>;
}
