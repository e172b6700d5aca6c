import type { BenchmarkReport } from "./BenchmarkReport.js";

/** Runs a benchmark with all randomness drawn from the seed. */
export type Benchmark = (seed: number) => Promise<BenchmarkReport>;
