/** Whether and how this VM watches the store. */
export interface WatchChoice {
    /** Whether this VM has to watch the store now. */
    isWatching(): boolean;
    /** How long one watch lasts, in milliseconds. */
    watchMilliseconds(): number;
}
