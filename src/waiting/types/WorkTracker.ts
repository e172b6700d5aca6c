/** Tracks work in flight, so that a graceful stop can wait for it. */
export interface WorkTracker {
    /** Runs the work and tracks it until it ends. */
    track<T>(description: string, work: () => Promise<T>): Promise<T>;
    /** Descriptions of the work in flight. */
    describe(): readonly string[];
    /** Resolves when no work is in flight and the callers of `track` have received the last results. */
    whenIdle(): Promise<void>;
}
