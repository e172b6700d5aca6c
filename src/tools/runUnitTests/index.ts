import { run } from "node:test";
import { spec } from "node:test/reporters";
import { toolConstants } from "../constants.js";
import type { TestTally } from "../types/TestTally.js";

/**
 * Runs test files with `node:test`, prints the report and counts the results.
 *
 * @param files Paths of the test files.
 * @param output Destination of the report; defaults to standard output.
 * @returns The counts; a file that fails as a whole is listed by its path.
 *
 * @example
 * const tally = await runUnitTests(["src/kernel/createKernel/test.ts"]);
 */
export async function runUnitTests(
    files: readonly string[],
    output: NodeJS.WritableStream = process.stdout,
): Promise<TestTally> {
    const failures: string[] = [];
    let passed = 0;
    const stream = run({ files: [...files], concurrency: toolConstants.parallelTestFiles });
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
    return { runner: "node:test", passed, failures };
}
