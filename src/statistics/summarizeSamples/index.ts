/** Number, percentiles and maximum of samples. */
interface SampleSummary {
    readonly count: number;
    readonly p50: number;
    readonly p99: number;
    readonly maximum: number;
}

/**
 * Computes percentiles of samples exactly, by sorting them.
 *
 * @param samples The samples.
 * @returns Count, median, 99th percentile and maximum; all 0 without samples.
 *
 * @example
 * const { p50 } = summarizeSamples([1, 2, 3]);
 */
export function summarizeSamples(samples: readonly number[]): SampleSummary {
    const sorted = [...samples].sort((left, right) => left - right);
    const percentile = (share: number): number =>
        sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? 0;
    return { count: sorted.length, p50: percentile(0.5), p99: percentile(0.99), maximum: sorted.at(-1) ?? 0 };
}
