import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { runOperator } from "../../src/site/runOperator/index.js";
import { submitPatch } from "../../src/site/submitPatch/index.js";
import type { ScenarioWorld } from "../support/ScenarioWorld.js";

const replicaWaitOf = (vmIndex: number): number => 70 + vmIndex;

function submitFrom(world: ScenarioWorld, vmIndex: number): Promise<string> {
    const patch = { limits: { replicaWaitMilliseconds: replicaWaitOf(vmIndex) } };
    return submitPatch(world.site.plan, patch, { against: 1, folder: world.site.folder, vmIndex })
        .catch(error => `refused: ${error.message}`);
}

function listAccepted(world: ScenarioWorld): number[] {
    return world.operatorOutputs.flatMap((output, index) => output.startsWith("refused") ? [] : [index]);
}

When(
    "two operators submit different patches against version 1 at the same moment",
    async function(this: ScenarioWorld) {
        this.operatorOutputs = await Promise.all([submitFrom(this, 0), submitFrom(this, 1)]);
    },
);

When("an operator submits a patch against version 1", async function(this: ScenarioWorld) {
    this.operatorOutputs = [await submitFrom(this, 0)];
});

Then("exactly one patch is accepted", async function(this: ScenarioWorld) {
    assert.equal(listAccepted(this).length, 1, this.operatorOutputs.join("\n"));
    const refusal = this.operatorOutputs.find(output => output.startsWith("refused"));
    assert.match(refusal ?? "", /Conflict/);
});

Then("the patch is reported as version 2", async function(this: ScenarioWorld) {
    assert.match(this.operatorOutputs[0] ?? "", /is version 2/);
});

Then("the version in force is 2 with the accepted patch", async function(this: ScenarioWorld) {
    const printed = await runOperator(["config", "get"], { folder: this.site.folder });
    const [accepted = 0] = listAccepted(this);
    assert.match(printed, new RegExp(`"replicaWaitMilliseconds": ${replicaWaitOf(accepted)}\\b`));
});
