import type { BenchmarkRow } from "./BenchmarkRow.js";

/** What one benchmark measured in one run. */
export interface BenchmarkReport {
    readonly name: string;
    readonly seed: number;
    /** Sizes of the arrangement, by name with their unit. */
    readonly sizes: Readonly<Record<string, number | string>>;
    readonly rows: readonly BenchmarkRow[];
    /** What the reader has to know to read the figures. */
    readonly remarks?: readonly string[];
}
