import type { BenchmarkReport } from "./BenchmarkReport.js";

/** Runs a benchmark; the seed determines all randomness. */
export type Benchmark = (seed: number) => Promise<BenchmarkReport>;
