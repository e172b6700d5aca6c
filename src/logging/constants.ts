/** Constants of logging. */
export const loggingConstants = {
    /** Lines that a process may write each second, and the most that it saves up. */
    linesPerSecond: 200,
    burstLines: 2_000,
    /** Bytes that may wait for a reader; lines beyond are left out. */
    waitingBytes: 262_144,
    millisecondsPerSecond: 1_000,
} as const;
