import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createSystemClock } from "../../src/clock/createSystemClock/index.js";
import { soakConstants } from "../../src/soak/constants.js";
import { runSoak } from "../../src/soak/runSoak/index.js";
import type { GuaranteeViolation } from "../../src/soak/types/GuaranteeViolation.js";

const millisecondsPerSecond = 1_000;
let violations: readonly GuaranteeViolation[] = [];
let faultCount = 0;

When("the soak runs for {int} seconds with seed {int}", async (seconds: number, seed: number) => {
    const { vmCount, callerCount } = soakConstants;
    const milliseconds = seconds * millisecondsPerSecond;
    const result = await runSoak(
        { seed, durationMilliseconds: milliseconds, vmCount, callerCount, isPlannedOnly: false },
        createSystemClock(),
    );
    violations = result.violations;
    faultCount = result.faults.length;
});

Then("the soak finds no violated guarantee", () => {
    assert.deepEqual(violations, []);
    assert.ok(faultCount > 0);
});
