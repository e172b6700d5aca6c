/** Figures of one arrangement, which is one combination of the varied parameters. */
export interface BenchmarkRow {
    readonly arrangement: string;
    /** Whether this is a baseline for the other arrangements. */
    readonly isBaseline: boolean;
    /** Figures by name; names include the unit, for example `p50Milliseconds`. */
    readonly figures: Readonly<Record<string, number>>;
}
