import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createSystemClock } from "../../src/clock/createSystemClock/index.js";
import { soakConstants } from "../../src/soak/constants.js";
import { runSoak } from "../../src/soak/runSoak/index.js";
import type { GuaranteeViolation } from "../../src/soak/types/GuaranteeViolation.js";

const millisecondsPerSecond = 1_000;
let violations: readonly GuaranteeViolation[] = [];
let faultCount = 0;

async function soak(seconds: number, seed: number, hasWorkspaces: boolean): Promise<void> {
    const { vmCount, callerCount } = soakConstants;
    const durationMilliseconds = seconds * millisecondsPerSecond;
    const result = await runSoak(
        { seed, durationMilliseconds, vmCount, callerCount, isPlannedOnly: false, hasWorkspaces },
        createSystemClock(),
    );
    violations = result.violations;
    faultCount = result.faults.length;
}

When("the soak runs for {int} seconds with seed {int}", async (seconds: number, seed: number) => {
    await soak(seconds, seed, false);
});

When("the soak runs with workspaces for {int} seconds with seed {int}", async (seconds: number, seed: number) => {
    await soak(seconds, seed, true);
});

Then("the soak finds no violated guarantee", () => {
    assert.deepEqual(violations, []);
    assert.ok(faultCount > 0);
});
