import type { BenchmarkRow } from "./BenchmarkRow.js";

/** Report of one run of a benchmark. */
export interface BenchmarkReport {
    readonly name: string;
    readonly seed: number;
    /** Parameters of the benchmark; names include the unit. */
    readonly sizes: Readonly<Record<string, number | string>>;
    readonly rows: readonly BenchmarkRow[];
    /** Remarks that are needed to interpret the figures. */
    readonly remarks?: readonly string[];
}
