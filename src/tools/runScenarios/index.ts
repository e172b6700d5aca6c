import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, readFileSync, rmSync } from "node:fs";
import { dirname } from "node:path";
import { z } from "zod";
import { toolConstants } from "../constants.js";
import type { TestTally } from "../types/TestTally.js";

const featuresSchema = z.array(z.object({
    elements: z.array(z.object({
        name: z.string(),
        type: z.string(),
        steps: z.array(z.object({ result: z.object({ status: z.string() }) })),
    })),
}));

/**
 * Runs the cucumber scenarios, prints their summary and counts the results.
 *
 * @returns The counts; a run that ends without a report, or fails without a failed scenario, counts as a failure.
 *
 * @example
 * const tally = await runScenarios();
 */
export async function runScenarios(): Promise<TestTally> {
    const { scenarioReportFile } = toolConstants;
    mkdirSync(dirname(scenarioReportFile), { recursive: true });
    rmSync(scenarioReportFile, { force: true });
    const child = spawn("npm", ["run", "test:features", "--", "--format", `json:${scenarioReportFile}`], {
        stdio: "inherit",
    });
    const [exitCode] = await once(child, "exit") as [number | undefined];
    const runner = "cucumber";
    try {
        const features = featuresSchema.parse(JSON.parse(readFileSync(scenarioReportFile, "utf8")));
        const scenarios = features.flatMap(feature => feature.elements).filter(({ type }) => type === "scenario");
        const failures = scenarios.filter(({ steps }) => steps.some(step => step.result.status !== "passed"));
        const hasUnnamedFailure = exitCode !== 0 && failures.length === 0;
        return {
            runner,
            passed: scenarios.length - failures.length,
            failures: [...failures.map(({ name }) => name), ...hasUnnamedFailure ? ["the run of cucumber"] : []],
        };
    }
    catch (error) {
        return { runner, passed: 0, failures: [`the report of cucumber (${String(error)})`] };
    }
}
