/** Constants of the soak test. */
export const soakConstants = {
    /** Default number of VMs and callers of a run. */
    vmCount: 6,
    callerCount: 24,
    /** Availability zones; VMs are assigned to them in turn, and the endpoints are in the same zones. */
    zones: ["a", "b", "c"],
    group: "orders",
    /** Number of items that all callers read and write. */
    itemCount: 40,
    /** Statement timeout of every route, in milliseconds. */
    statementTimeoutMilliseconds: 1_000,
    /** Maximum staleness on the routes that allow stale reads, in milliseconds. */
    maximumStalenessMilliseconds: 2_500,
    promotionMilliseconds: 200,
    graceSeconds: 6,
    /** Time after SIGTERM within which a VM owes answers: its grace time and a second, in milliseconds. */
    stopMilliseconds: 7_000,
    /** Time in which a connection may end after a statement that crosses its end, in milliseconds. */
    lostSlackMilliseconds: 200,
    /** A VM or endpoint counts as disturbed until this long after a fault, in milliseconds. */
    stableMilliseconds: 5_000,
    /** Time within which a configuration has to be in force on every VM, in milliseconds. */
    configurationMilliseconds: 4_000,
    /** Time after which a caller stops waiting for an answer, in milliseconds. */
    answerTimeoutMilliseconds: 4_000,
    /** Added to the statement timeout before an answer counts as late, in milliseconds. */
    lateToleranceMilliseconds: 1_500,
    /** Maximum pause of a caller between two sessions, and between two units of one session, in milliseconds. */
    maximumReconnectPauseMilliseconds: 200,
    maximumThinkTimeMilliseconds: 60,
    /** Maximum pause inside the transactions of some sessions of clinging callers, in milliseconds. */
    maximumTransactionPauseMilliseconds: 600,
    /** Pause of a clinging caller after a refused dial, in milliseconds, and dials after which it chooses another VM. */
    refusedDialPauseMilliseconds: 20,
    refusedDialsPerVm: 50,
    /** Mean interval between the starts of two faults, in milliseconds. */
    meanFaultIntervalMilliseconds: 900,
    /** Minimum and maximum duration of a fault, in milliseconds. */
    minimumFaultMilliseconds: 100,
    maximumFaultMilliseconds: 4_000,
    /** Age of the copy from which the store is restored, in milliseconds. */
    copyAgeMilliseconds: 6_000,
    /** Usual delay of the links to the endpoints in each direction, in milliseconds. */
    endpointLinkDelayMilliseconds: 10,
    /** Delay that is added to a link under a delay fault, in milliseconds. */
    linkDelayMilliseconds: 120,
    /** Replication lag of an endpoint under a lag fault, in milliseconds. */
    replicaLagMilliseconds: 400,
    /** All databases must be available again within this time after the last fault, in milliseconds. */
    recoveryTimeoutMilliseconds: 15_000,
    /** Commits this close to a fault at an endpoint may be lost if no other endpoint has them, in milliseconds. */
    lossToleranceMilliseconds: 15_000,
    startTimeoutMilliseconds: 30_000,
    pollingMilliseconds: 50,
    /** Maximum number of violations that a summary prints. */
    maximumPrintedViolations: 12,
    millisecondsPerMinute: 60_000,
} as const;
