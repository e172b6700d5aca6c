/** An endpoint's latencies, compared to its own earlier ones. */
export interface LatencyTrend {
    /** Records the latency of a statement that was answered, in milliseconds. */
    record(milliseconds: number): void;
    /** Moving average of the latencies, in milliseconds; an assumed value before the first. */
    averageMilliseconds(): number;
    /** Average as a multiple of the baseline; 1 while there are too few latencies. */
    slowdown(): number;
    /** Forgets the average, but not the baseline. */
    restart(): void;
}
