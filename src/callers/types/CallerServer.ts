/** The HTTP server that accepts callers. */
export interface CallerServer {
    /** The port it listens on, once started. */
    port(): number;
    start(): Promise<void>;
    /** Answers health checks with `Stopping`, stops accepting connections, then finishes the requests in flight. */
    stop(): Promise<void>;
    describeWork(): readonly string[];
}
