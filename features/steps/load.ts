import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { defaultPlan } from "../../src/load/defaultPlan/index.js";
import type { LoadPlan } from "../../src/load/types/LoadPlan.js";
import { OutcomeKind } from "../../src/messages/types/OutcomeKind.js";
import { describeSmallSite } from "../../src/site/describeSmallSite/index.js";
import { startSite } from "../../src/site/startSite/index.js";
import { startSiteLoad } from "../../src/site/startSiteLoad/index.js";
import { waitForValue } from "../../src/site/waitForValue/index.js";
import { featureConstants } from "../support/featureConstants.js";
import type { ScenarioWorld } from "../support/ScenarioWorld.js";
import { waitForAnswers } from "../support/waitForAnswers.js";

const answersBeforeFaults = 50;

async function startLoad(world: ScenarioWorld, changes: Partial<LoadPlan>): Promise<void> {
    const { seed, sessionCount, writeShare } = featureConstants;
    world.site = await startSite(describeSmallSite(seed));
    world.load = await startSiteLoad(world.site, { ...defaultPlan, seed, sessionCount, writeShare, ...changes });
    await waitForAnswers(world, answersBeforeFaults);
}

Given("a small site under load", async function(this: ScenarioWorld) {
    await startLoad(this, {});
});

// The endpoint refuses conflicting transactions even if nothing is replaced, so this load has none.
Given("a small site under load without transactions", async function(this: ScenarioWorld) {
    await startLoad(this, { transactionShare: 0 });
});

When("callers make {int} more operations", async function(this: ScenarioWorld, count: number) {
    const countBefore = this.load.operations.length;
    await waitForValue("more operations", featureConstants.waitTimeoutMilliseconds, async () => {
        return this.load.operations.length >= countBefore + count ? true : undefined;
    });
});

Then("callers get {int} more answers", async function(this: ScenarioWorld, count: number) {
    await waitForAnswers(this, count);
});

Then("writes are acknowledged again in a higher term", async function(this: ScenarioWorld) {
    await waitForAnswers(
        this,
        20,
        operation => operation.value !== undefined && (operation.servedBy?.term ?? 0) > this.termBeforeFault,
    );
});

Then("no request has an unknown outcome", async function(this: ScenarioWorld) {
    const { run } = await this.load.end();
    const unknown = run.operations.filter(operation => operation.outcome === OutcomeKind.OutcomeUnknown);
    assert.deepEqual(unknown, []);
});

Then("no caller received an error", async function(this: ScenarioWorld) {
    const { run } = await this.load.end();
    const errors = run.operations.filter(operation => operation.outcome !== OutcomeKind.Answer);
    assert.deepEqual(errors.map(({ kind, outcome, reason }) => ({ kind, outcome, reason })), []);
});

Then("every guarantee to callers holds", async function(this: ScenarioWorld) {
    const { verdict } = await this.load.end();
    assert.deepEqual(verdict.violations, []);
    assert.ok(verdict.acknowledgedWriteCount > 0 && verdict.answeredReadCount > 0);
    assert.deepEqual(this.site.unexpectedExits, []);
});
