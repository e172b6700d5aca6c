/** Figures of one arrangement. */
export interface BenchmarkRow {
    readonly arrangement: string;
    /** Whether others are compared with it. */
    readonly isBaseline: boolean;
    /** By name with its unit, for example `p50Milliseconds`. */
    readonly figures: Readonly<Record<string, number>>;
}
