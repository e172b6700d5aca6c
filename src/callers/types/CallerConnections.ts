/** The open connections of callers. */
export interface CallerConnections {
    /** Closes connections without a request now, and the others as soon as their requests are answered. */
    closeWhenAnswered(): void;
    /** Closes all connections but those of requests that were received whole and are not answered yet. */
    closeUnlessRunning(): void;
    /** Resolves when no connection is open. */
    whenClosed(): Promise<void>;
}
