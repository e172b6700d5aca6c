/** Constants of the operator's program. */
export const operatorConstants = {
    /** Time allowed for one question to one gateway. */
    callTimeoutMilliseconds: 5_000,
    /** How long a gateway is looked for while none can be reached. */
    reachTimeoutMilliseconds: 10_000,
    /** Time allowed for a patch, longer than a gateway tries to settle it. */
    patchTimeoutMilliseconds: 15_000,
    /** Time between two looks at the versions in force. */
    waitPollMilliseconds: 250,
    /** How long `--wait` waits. */
    waitTimeoutMilliseconds: 60_000,
    /** Missing processes named in one line. */
    maximumNamedProcesses: 10,
    /** Time for which events are held back, to print them in order. */
    followWindowMilliseconds: 500,
    /** Pause before a gateway that stopped sending events is asked again. */
    followRetryMilliseconds: 5_000,
    /** Gateways asked at the same time. */
    parallelCalls: 32,
} as const;
