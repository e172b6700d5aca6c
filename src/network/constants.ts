/** Constants of the emulated network. */
export const networkConstants = {
    /** Pause before a process connects again to the publisher of the emulated network. */
    reconnectMilliseconds: 200,
    /** Longest wait for the first state at the start of a process. */
    startTimeoutMilliseconds: 10_000,
} as const;
