import { cac } from "cac";
import { createProcessControl } from "../../commandLine/createProcessControl/index.js";
import { readProductVersion } from "../../commandLine/readProductVersion/index.js";
import { reportFailure } from "../../commandLine/reportFailure/index.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { benchmarks } from "../benchmarks/index.js";
import { formatBenchmark } from "../formatBenchmark/index.js";
import type { BenchmarkName } from "../types/BenchmarkName.js";

const defaultSeed = 1;

/**
 * Runs the benchmark that the command line names, and prints its table and then its report as one line of JSON.
 *
 * @example
 * // npm run bench -- path --seed 7
 * await runBenchmark();
 */
async function runBenchmark(): Promise<void> {
    const commandLine = cac("bench");
    commandLine.command("<name>", `Measures one of: ${Object.keys(benchmarks).join(", ")}`)
        .option("--seed <number>", "Seed of all randomness", { default: defaultSeed })
        .action(async (name: string, options: { readonly seed: number; }) => {
            const benchmark = benchmarks[name as BenchmarkName];
            if (benchmark === undefined) {
                throw createError(ErrorKind.NotFound, `There is no benchmark ${name}.`, {
                    remedy: `Name one of: ${Object.keys(benchmarks).join(", ")}.`,
                });
            }
            const report = await benchmark(options.seed);
            process.stdout.write(`${formatBenchmark(report)}${JSON.stringify(report)}\n`);
        });
    commandLine.help();
    commandLine.version(readProductVersion());
    commandLine.parse(process.argv, { run: false });
    await commandLine.runMatchedCommand();
}

try {
    await runBenchmark();
}
catch (error) {
    process.exitCode = reportFailure(error, createProcessControl());
}
