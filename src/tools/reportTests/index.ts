import { readKnownFailures } from "../readKnownFailures/index.js";
import type { TestTally } from "../types/TestTally.js";

/**
 * Prints the summary of a test run, with known and unexpected failures.
 *
 * @param tallies Results of the test runners.
 * @param print Writes a line; defaults to standard output.
 * @returns True when each runner ran at least one test and every failure is listed as known.
 *
 * @example
 * process.exitCode = reportTests([tally]) ? 0 : 1;
 */
export function reportTests(tallies: readonly TestTally[], print: (line: string) => void = console.log): boolean {
    const known = readKnownFailures();
    const failures = tallies.flatMap(tally => tally.failures);
    const unexpected = failures.filter(name => !known.some(entry => entry.name === name));
    for (const entry of known) {
        const state = failures.includes(entry.name) ? "failed, passed over" : "passed or not run";
        print(`Known red (${state}):\n${entry.text}\n`);
    }
    for (const name of unexpected) {
        print(`FAILED: ${name}`);
    }
    for (const tally of tallies) {
        const knownCount = tally.failures.filter(name => !unexpected.includes(name)).length;
        const failedCount = tally.failures.length - knownCount;
        print(`${tally.runner}: ${tally.passed} passed, ${failedCount} failed, ${knownCount} known red`);
    }
    return unexpected.length === 0 && tallies.every(tally => tally.passed + tally.failures.length > 0);
}
