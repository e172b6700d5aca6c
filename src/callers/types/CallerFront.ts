/** The interface to callers. */
export interface CallerFront {
    /** The port it listens on, once started. */
    port(): number;
    start(): Promise<void>;
    /** Answers health checks with `Stopping`, finishes every request under way, then stops listening. */
    stop(): Promise<void>;
    describeWork(): readonly string[];
}
