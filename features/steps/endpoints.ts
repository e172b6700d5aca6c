import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { z } from "zod";
import { EndpointRole } from "../../src/endpoints/types/EndpointRole.js";
import { changeEndpointSwitches } from "../../src/site/changeEndpointSwitches/index.js";
import { readEndpointStatus } from "../../src/site/readEndpointStatus/index.js";
import { sendAdminCall } from "../../src/site/sendAdminCall/index.js";
import { waitForValue } from "../../src/site/waitForValue/index.js";
import type { EndpointSwitches } from "../../src/standIns/endpoint/types/EndpointSwitches.js";
import { featureConstants } from "../support/featureConstants.js";
import { requirePrimary } from "../support/requirePrimary.js";
import type { ScenarioWorld } from "../support/ScenarioWorld.js";
import { waitForAnswers } from "../support/waitForAnswers.js";

const faults: Readonly<Record<string, Partial<EndpointSwitches>>> = {
    "killed": { isKilled: true },
    "frozen": { isFrozen: true },
    "cut off from its replicas": { isCutFromPeers: true },
    "leaving": { isLeaving: true },
};

When(
    /^the primary is (killed|frozen|cut off from its replicas|leaving)$/,
    async function(this: ScenarioWorld, fault: string) {
        const primary = await requirePrimary(this);
        this.load.mark({ text: `primary ${fault}`, database: primary.database });
        await changeEndpointSwitches(primary, faults[fault] ?? {});
    },
);

When("the frozen endpoint resumes", async function(this: ScenarioWorld) {
    await changeEndpointSwitches(this.primaryBeforeFault, { isFrozen: false });
});

When("one replica lags by {int} ms", async function(this: ScenarioWorld, lagMilliseconds: number) {
    const primary = await requirePrimary(this);
    const replica = this.site.plan.endpoints.find(endpoint => endpoint !== primary);
    assert.ok(replica);
    await changeEndpointSwitches(replica, { replicationLagMilliseconds: lagMilliseconds });
});

When("all open connections to the primary become unresponsive", async function(this: ScenarioWorld) {
    const primary = await requirePrimary(this);
    await sendAdminCall(primary.admin, "/silence", { method: "POST" });
});

Then("the endpoint follows the new primary", async function(this: ScenarioWorld) {
    await waitForValue("the endpoint to follow", featureConstants.waitTimeoutMilliseconds, async () => {
        const status = await readEndpointStatus(this.primaryBeforeFault);
        return status.role === EndpointRole.Replica && status.term > this.termBeforeFault ? true : undefined;
    });
});

Then("the leaving endpoint receives no new work", async function(this: ScenarioWorld) {
    const readNewWork = async (): Promise<number> =>
        z.object({ newWorkWhileLeaving: z.number() }).parse(
            await sendAdminCall(this.primaryBeforeFault.admin, "/counters"),
        )
            .newWorkWhileLeaving;
    let previousCount = await readNewWork();
    await waitForValue("new work to stop", featureConstants.waitTimeoutMilliseconds, async () => {
        await waitForAnswers(this, 100);
        const currentCount = await readNewWork();
        const hasStopped = currentCount === previousCount;
        previousCount = currentCount;
        return hasStopped ? true : undefined;
    });
});
