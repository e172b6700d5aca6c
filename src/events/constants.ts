/** Constants of the event recorder. */
export const eventConstants = {
    ringLength: 2_000,
    /** A timestamp further ahead of the local wall clock is not taken over. */
    maximumClockDriftMilliseconds: 60_000,
} as const;
