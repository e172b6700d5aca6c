/** Constants of the fault soak. */
export const soakConstants = {
    /** VMs and callers of a run of the usual size. */
    vmCount: 6,
    callerCount: 24,
    /** Zones of the VMs, in turn; the endpoints stand in the same. */
    zones: ["a", "b", "c"],
    group: "orders",
    /** Items that all callers read and write. */
    itemCount: 40,
    /** Time limit of a statement on every route, in milliseconds. */
    statementMilliseconds: 1_000,
    /** Bound of stale reads on the routes that allow them, in milliseconds. */
    stalenessMilliseconds: 2_500,
    promoteMilliseconds: 200,
    graceSeconds: 6,
    /** A caller gives up an answer after this time, in milliseconds. */
    patienceMilliseconds: 4_000,
    /** Added to a statement's time limit before an answer counts as late, in milliseconds. */
    lateMilliseconds: 1_500,
    /** Pause of a caller whose connection was refused, and the longest between two statements, in milliseconds. */
    reconnectMilliseconds: 200,
    thinkMilliseconds: 60,
    /** Mean pause between the beginnings of two faults, in milliseconds. */
    faultPauseMilliseconds: 900,
    /** Shortest and longest duration of a fault, in milliseconds. */
    shortestFaultMilliseconds: 100,
    longestFaultMilliseconds: 4_000,
    /** Delay of a link that is slowed down, in milliseconds. */
    linkDelayMilliseconds: 120,
    /** Lag of a replica that falls behind, in milliseconds. */
    replicaLagMilliseconds: 400,
    /** After the last fault everything is served again within this time, in milliseconds. */
    recoveryMilliseconds: 15_000,
    /** After a fault at an endpoint commits may be lost that no other endpoint had received, for this long. */
    lossMilliseconds: 15_000,
    startMilliseconds: 30_000,
    pollMilliseconds: 50,
    /** Broken promises that a summary prints. */
    printedBreaks: 12,
    millisecondsPerMinute: 60_000,
} as const;
