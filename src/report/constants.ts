/** Constants of the HTML report. */
export const reportConstants = {
    bucketCount: 120,
    chartWidthPixels: 960,
    chartHeightPixels: 220,
    marginPixels: 48,
    gridLines: 4,
    millisecondsPerSecond: 1_000,
} as const;
