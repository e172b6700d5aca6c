/** What the kernel asks of a service: an optional start and an optional graceful stop. */
export interface Service {
    /** Starts the service; every service it depends on has been started. */
    start?(): Promise<void>;
    /** Stops the service; every service that depends on it has been stopped. */
    stop?(): Promise<void>;
    /** Names what a graceful stop still waits for, one line each. */
    describeWork?(): readonly string[];
}
