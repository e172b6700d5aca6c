/** Lifecycle functions that the kernel calls on a service; all are optional. */
export interface Service {
    /** Starts the service, after all services that it depends on. */
    start?(): Promise<void>;
    /** Stops the service, after all services that depend on it. */
    stop?(): Promise<void>;
    /** Describes the unfinished work that a graceful stop waits for, one line per kind of work. */
    describeWork?(): readonly string[];
}
