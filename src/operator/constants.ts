/** Constants of the operator's command. */
export const operatorConstants = {
    /** Time limit for one call to one gateway. */
    callTimeoutMilliseconds: 5_000,
    /** Time limit for retries while no gateway is reachable. */
    reachabilityTimeoutMilliseconds: 10_000,
    /** Time limit for submitting a patch; longer than the time in which a gateway resolves the patch's outcome. */
    patchTimeoutMilliseconds: 15_000,
    /** Pause between two queries for the versions in force, and between two attempts to reach a gateway. */
    pollingMilliseconds: 250,
    /** Time limit of `--wait`. */
    waitTimeoutMilliseconds: 60_000,
    /** Missing processes listed by name in one line. */
    maximumListedProcesses: 10,
    /** Time for which `timeline --follow` buffers events, to print them in order of their timestamps. */
    followWindowMilliseconds: 500,
    /** Pause before events are requested again from a gateway that stopped sending them. */
    followRetryMilliseconds: 5_000,
    /** Gateways queried concurrently. */
    concurrentCalls: 32,
} as const;
