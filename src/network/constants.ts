/** Constants of the emulated network. */
export const networkConstants = {
    /** Pause before a process reconnects to the publisher of the emulated network. */
    reconnectMilliseconds: 200,
    /** Time limit for the first state of the emulated network when a process starts. */
    startTimeoutMilliseconds: 10_000,
} as const;
