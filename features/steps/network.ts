import { When } from "@cucumber/cucumber";
import { changeNetwork } from "../../src/site/changeNetwork/index.js";
import { changePlatformSwitches } from "../../src/site/changePlatformSwitches/index.js";
import { cutZone } from "../../src/site/cutZone/index.js";
import { listLinks } from "../../src/site/listLinks/index.js";
import { OutageKind } from "../../src/standIns/platform/types/OutageKind.js";
import { requirePrimary } from "../support/requirePrimary.js";
import type { ScenarioWorld } from "../support/ScenarioWorld.js";

When("the availability zone of the primary is cut off", async function(this: ScenarioWorld) {
    const primary = await requirePrimary(this);
    this.load.mark({ text: "zone of the primary cut off" });
    await cutZone(this.site.plan, primary.address.availabilityZone, true);
});

When("all availability zones are reconnected", async function(this: ScenarioWorld) {
    await cutZone(this.site.plan, this.primaryBeforeFault.address.availabilityZone, false);
});

When("all open connections between availability zones become unresponsive", async function(this: ScenarioWorld) {
    const links = listLinks(this.site.plan.description);
    this.load.mark({ text: "open connections between zones become unresponsive" });
    await changeNetwork(this.site.plan, links.map(({ from, to }) => ({ from, to, isSilenced: true })));
});

When(/^the platform is (down|up again)$/, async function(this: ScenarioWorld, state: string) {
    await changePlatformSwitches(this.site.plan, { outage: state === "down" ? OutageKind.Hanging : OutageKind.None });
});

When("the platform loses its next answer about the configuration", async function(this: ScenarioWorld) {
    await changePlatformSwitches(this.site.plan, { lostAnswers: 1, lostAnswerPrefix: "configuration/" });
});
