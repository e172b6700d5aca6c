/** Benchmarks that `npm run bench` knows. */
export enum BenchmarkName {
    Configuration = "configuration",
    Control = "control",
    Failover = "failover",
    Overload = "overload",
    Path = "path",
    Reads = "reads",
}
