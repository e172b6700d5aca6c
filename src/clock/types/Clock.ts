/** Source of time; tests replace it. */
export interface Clock {
    /** Monotonic time in milliseconds; only differences between two values are meaningful. */
    now(): number;
    /** Wall time in milliseconds since 1970; it may jump. */
    wallTime(): number;
    /** Resolves after the given time, or as soon as the signal is aborted. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
    /** Calls the function once after the given time, unless the returned function has cancelled it before. */
    startTimer(milliseconds: number, onElapsed: () => void): () => void;
}
