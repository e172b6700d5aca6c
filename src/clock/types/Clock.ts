/** Source of time; a test swaps it. */
export interface Clock {
    /** Monotonic time in milliseconds; only differences have a meaning. */
    now(): number;
    /** Wall time in milliseconds since 1970, for people only. */
    wallTime(): number;
    /** Resolves after that many milliseconds, or at once when the signal is aborted. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}
