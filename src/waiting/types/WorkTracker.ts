/** Counts the work under way, so that a stop can wait for it. */
export interface WorkTracker {
    /** Runs the work and counts it until it has ended. */
    track<T>(description: string, work: () => Promise<T>): Promise<T>;
    /** Descriptions of the work under way. */
    describe(): readonly string[];
    /** Resolves when no work is under way and the last results were passed on. */
    whenIdle(): Promise<void>;
}
