/** Names of the benchmarks, for `npm run bench`. */
export enum BenchmarkName {
    Configuration = "configuration",
    Control = "control",
    Failover = "failover",
    Overload = "overload",
    Path = "path",
    Reads = "reads",
}
