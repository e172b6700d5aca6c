/** Constants of the event recorder and of the time line. */
export const eventConstants = {
    /** Events kept per process; beyond, the oldest are dropped. */
    ringLength: 2_000,
    /** A received timestamp further ahead of the local wall clock is ignored. */
    maximumClockDriftMilliseconds: 60_000,
    /** Events in one response of `events.list`. */
    maximumListedEvents: 5_000,
    /** Processes whose pushed events a gateway keeps; the one that pushed least recently is dropped. */
    maximumPushingProcesses: 32,
    /** Events in one push. */
    maximumPushedEvents: 500,
} as const;
