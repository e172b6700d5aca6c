/** Constants of the event recorder and of the time line. */
export const eventConstants = {
    ringLength: 2_000,
    /** A timestamp further ahead of the local wall clock is not taken over. */
    maximumClockDriftMilliseconds: 60_000,
    /** Events in one answer to a question for the time line. */
    maximumListedEvents: 5_000,
    /** Processes whose pushed events a gateway keeps; the one that pushed least recently is dropped. */
    maximumPushingProcesses: 32,
    /** Events in one push. */
    maximumPushedEvents: 500,
} as const;
