/** Latencies of answered operations, in milliseconds. */
export interface LatencySummary {
    readonly count: number;
    readonly p50: number;
    readonly p90: number;
    readonly p99: number;
    readonly maximum: number;
}
