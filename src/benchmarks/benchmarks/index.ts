import { measureConfiguration } from "../measureConfiguration/index.js";
import { measureControl } from "../measureControl/index.js";
import { measurePath } from "../measurePath/index.js";
import { measureReads } from "../measureReads/index.js";
import { measureSiteFailover } from "../measureSiteFailover/index.js";
import { reportOverload } from "../reportOverload/index.js";
import type { Benchmark } from "../types/Benchmark.js";
import { BenchmarkName } from "../types/BenchmarkName.js";

/**
 * The benchmarks by name.
 *
 * @example
 * const report = await benchmarks[BenchmarkName.Path]?.(7);
 */
export const benchmarks: Readonly<Record<BenchmarkName, Benchmark>> = {
    [BenchmarkName.Configuration]: measureConfiguration,
    [BenchmarkName.Control]: measureControl,
    [BenchmarkName.Failover]: measureSiteFailover,
    [BenchmarkName.Overload]: reportOverload,
    [BenchmarkName.Path]: measurePath,
    [BenchmarkName.Reads]: measureReads,
};
