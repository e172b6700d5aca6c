import { run } from "node:test";
import { spec } from "node:test/reporters";
import { toolConstants } from "../constants.js";
import type { TestTally } from "../types/TestTally.js";

/** Options of `runUnitTests`. */
interface UnitTestOptions {
    /** Name of the run in its summary. */
    readonly runner?: string;
    /** Test files run at the same time. */
    readonly concurrency?: number;
    /** Destination of the report; defaults to standard output. */
    readonly output?: NodeJS.WritableStream;
}

/**
 * Runs test files with `node:test`, prints the report and counts the results.
 *
 * @param files Paths of the test files.
 * @param options Name of the run, files run at the same time, and destination of the report.
 * @returns The counts; a file that fails as a whole is listed by its path.
 *
 * @example
 * const tally = await runUnitTests(["src/kernel/createKernel/test.ts"]);
 */
export async function runUnitTests(
    files: readonly string[],
    options: UnitTestOptions = {},
): Promise<TestTally> {
    const { runner = "node:test", concurrency = toolConstants.parallelTestFiles, output = process.stdout } = options;
    const failures: string[] = [];
    let passed = 0;
    const stream = run({ files: [...files], concurrency });
    stream.on("test:pass", ({ details }) => {
        passed += details.type === "suite" ? 0 : 1;
    });
    stream.on("test:fail", ({ name, details }) => {
        const { failureType } = details.error as { readonly failureType?: string; };
        if (failureType !== "subtestsFailed") {
            failures.push(name);
        }
    });
    const report = stream.compose(new spec());
    report.pipe(output);
    await new Promise((resolve, reject) => report.on("end", resolve).on("error", reject));
    return { runner, passed, failures };
}
