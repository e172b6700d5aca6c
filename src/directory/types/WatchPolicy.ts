/** Decides whether and for how long this VM watches the platform's store. */
export interface WatchPolicy {
    /** Whether this VM has to watch the store now. */
    isWatching(): boolean;
    /** Length of one watch, in milliseconds. */
    watchMilliseconds(): number;
}
