/** Runs all tests; failures listed in KNOWN-RED.txt are printed and ignored, any other failure fails the run. */
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { toolConstants } from "../src/tools/constants.js";
import { listSourceFiles } from "../src/tools/listSourceFiles/index.js";
import { reportTests } from "../src/tools/reportTests/index.js";
import { runScenarios } from "../src/tools/runScenarios/index.js";
import { runUnitTests } from "../src/tools/runUnitTests/index.js";

const { scripts } = JSON.parse(readFileSync("package.json", "utf8")) as { readonly scripts: Record<string, string>; };
const testFiles = listSourceFiles().filter(file => file.startsWith("src/") && file.endsWith("/test.ts"));
const isHostile = (file: string): boolean => file.startsWith(toolConstants.hostileCallersFolder);
const tallies = [await runUnitTests(testFiles.filter(file => !isHostile(file)))];
if (scripts["test:features"] !== undefined) {
    tallies.push(await runScenarios());
}
// They bound what a process uses, so they run one at a time after all others, against the build output of these.
execFileSync("npm", ["run", "--silent", "build"], { stdio: "inherit" });
tallies.push(await runUnitTests(testFiles.filter(isHostile), { runner: "hostile callers", concurrency: 1 }));
process.exit(reportTests(tallies) ? 0 : 1);
