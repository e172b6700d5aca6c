/** Constants of the metrics. */
export const metricsConstants = {
    /** Port of the metrics server; must match the deploy file. */
    port: 9_464,
    path: "/metrics",
    /** Upper bounds of the latency histogram's buckets, in seconds. */
    latencyBuckets: [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2],
    millisecondsPerSecond: 1_000,
} as const;
