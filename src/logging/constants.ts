/** Constants of logging. */
export const loggingConstants = {
    /** Sustained rate of log lines of a process. */
    linesPerSecond: 200,
    /** Largest number of lines in a burst: capacity of the token bucket. */
    burstLines: 2_000,
    /** Bytes that may be buffered for the reader; while more are, log lines are dropped. */
    maximumBufferedBytes: 262_144,
    millisecondsPerSecond: 1_000,
} as const;
