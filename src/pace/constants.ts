/** Constants of the pace of endpoints. */
export const paceConstants = {
    /** Limit of an endpoint without evidence, in statements; the connections of a VM allow no more. */
    unlimitedStatements: 6,
    /** Share of the endpoint's slots per VM with which the limit begins after a start, a recovery or a change of primary. */
    initialShare: 1,
    /** Share of the endpoint's slots per VM below which the limit never falls. */
    minimumShare: 1,
    /** Bounds of the lowest limit, in statements. */
    lowestMinimum: 0.25,
    highestMinimum: 1,
    /** Growth of a limit for each good answer before the first bad one; of the limit, and at most of one statement. */
    startGrowth: 1,
    /** Statements by which a whole round of good answers raises the limit after a bad one. */
    increaseStatements: 0.1,
    /** Factor of a reduction, and minimum time between two, in milliseconds. */
    decreaseFactor: 0.8,
    decreaseIntervalMilliseconds: 100,
    /** Half-life of a statement's weight in the share of refusals, in milliseconds. */
    refusalHalfLifeMilliseconds: 500,
    /** Share of refusals above which a limit comes into force or falls, and weight of refusals from which it counts. */
    toleratedRefusalShare: 0.5,
    countedRefusals: 2,
    /** Limit below which refusals alone never reduce it, in statements; pauses space the refusals instead. */
    refusalFloorStatements: 1,
    /** Share of the endpoint's slots per VM at which the limit is held while the endpoint is slow. */
    slowShare: 1.5,
    /** Pause after a refusal, as a share of a statement's duration: the expected rest of one that runs. */
    refusalPauseShare: 0.5,
    /** Time without a bad answer after which the limit is lifted, in milliseconds, and the good answers needed in it. */
    liftMilliseconds: 3_000,
    liftAnswers: 5,
    /** Bounds of the assumed duration of a statement, in milliseconds, and its value without observations. */
    minimumStatementMilliseconds: 1,
    maximumStatementMilliseconds: 200,
    assumedStatementMilliseconds: 20,
    /** Weight of the newest latency in the moving average. */
    latencyWeight: 0.1,
    /** Half-life of the baseline, in milliseconds. */
    baselineHalfLifeMilliseconds: 20_000,
    /** Latencies after which a baseline is relied on. */
    baselineAnswers: 10,
    /** Multiple of the baseline above which a limit in force does not grow but falls. */
    slowFactor: 2.5,
    /** Multiple of the baseline above which a limit comes into force, if several statements run. */
    verySlowFactor: 4,
    /** Limit below which latencies alone never reduce it, in statements, unless the endpoint has just begun. */
    latencyFloorStatements: 2,
    /** Time without any answer after which reads go to other endpoints, in milliseconds, and as a multiple of the latency. */
    silenceMilliseconds: 150,
    silenceFactor: 8,
    /** Half-life of a statement's weight in the failure rate, in milliseconds. */
    failureHalfLifeMilliseconds: 2_000,
    /** Failures, by weight, and failure rate above that of other endpoints with which an endpoint is set aside. */
    setAsideFailures: 1.7,
    setAsideExcess: 0.25,
    /** The same for an endpoint that has returned a short while ago. */
    setAsideFailuresOnTrial: 0.9,
    setAsideExcessOnTrial: 0.1,
    /** Statements, by weight, with which an endpoint's failure rate is compared to others'. */
    comparedStatements: 3,
    /** Cost of a failure rate of 1 above that of other endpoints, in milliseconds. */
    failurePenaltyMilliseconds: 400,
    /** Most cost of a single failure, in milliseconds, and the weight of failures up to which it counts as single. */
    singleFailurePenaltyMilliseconds: 30,
    singleFailureWeight: 1.2,
    /** Good statements that are added to the observed ones, for the cost of failures. */
    assumedGoodStatements: 2,
    /** Failures as which a statement without an answer counts. */
    silenceWeight: 2,
    /** Time after a return in which fewer failures set an endpoint aside, in holds. */
    trialHolds: 4,
    /** Largest share of a group's endpoints that is set aside. */
    maximumSetAsideShare: 0.5,
    /** Time for which an endpoint is set aside before the first probe; doubles up to the maximum, in milliseconds. */
    initialHoldMilliseconds: 1_000,
    maximumHoldMilliseconds: 30_000,
    /** Time in service after which the next hold is halved, in milliseconds. */
    holdDecayMilliseconds: 30_000,
    /** Good probes in a row with which an endpoint returns. */
    returningProbes: 6,
    /** Share of a group's reads that may be probes, and the most probes that are saved up. */
    probeShare: 0.01,
    maximumProbeBalance: 1,
    /** Minimum time between probes of one endpoint, and time limit of a probe, in milliseconds. */
    probeIntervalMilliseconds: 50,
    probeTimeoutMilliseconds: 250,
    /** Time for which the pace of an endpoint without a record is kept, in milliseconds. */
    removedMilliseconds: 60_000,
    /** Minimum time between log lines about the pace of one endpoint, in milliseconds. */
    logIntervalMilliseconds: 5_000,
    /** Share of statements that may be retried after an endpoint had no slot, and retries per second that always may. */
    busyRetryShare: 1,
    busyRetriesPerSecond: 5,
    /** Longest wait until the budget is asked again, in milliseconds. */
    busyRetryWaitMilliseconds: 20,
    /** Milliseconds of a second. */
    millisecondsPerSecond: 1_000,
} as const;
