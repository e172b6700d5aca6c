/** Runs all tests; failures listed in KNOWN-RED.txt are printed and ignored, any other failure fails the run. */
import { readFileSync } from "node:fs";
import { listSourceFiles } from "../src/tools/listSourceFiles/index.js";
import { reportTests } from "../src/tools/reportTests/index.js";
import { runScenarios } from "../src/tools/runScenarios/index.js";
import { runUnitTests } from "../src/tools/runUnitTests/index.js";

const { scripts } = JSON.parse(readFileSync("package.json", "utf8")) as { readonly scripts: Record<string, string>; };
const unitFiles = listSourceFiles().filter(file => file.startsWith("src/") && file.endsWith("/test.ts"));
const tallies = [await runUnitTests(unitFiles)];
if (scripts["test:features"] !== undefined) {
    tallies.push(await runScenarios());
}
process.exit(reportTests(tallies) ? 0 : 1);
