import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { ScenarioWorld } from "../support/ScenarioWorld.js";

const signals: Readonly<Record<string, NodeJS.Signals>> = {
    "killed": "SIGKILL",
    "paused": "SIGSTOP",
    "resumed": "SIGCONT",
    "stopped gracefully": "SIGTERM",
};

When(
    /^the (entry|gateway) of VM (\d) is (killed|paused|resumed|stopped gracefully)$/,
    async function(this: ScenarioWorld, program: string, vm: string, fault: string) {
        this.signaledProcessName = `vm-${vm}-${program}`;
        this.load.mark({ text: `${this.signaledProcessName} ${fault}` });
        this.site.findProcess(this.signaledProcessName).signal(signals[fault] ?? "SIGKILL");
    },
);

When(
    /^the (entry|gateway) of VM (\d) is started again$/,
    async function(this: ScenarioWorld, program: string, vm: string) {
        await this.site.restart(`vm-${vm}-${program}`);
    },
);

Then("the process exits without an error", async function(this: ScenarioWorld) {
    const stopped = this.site.findProcess(this.signaledProcessName);
    assert.equal(await stopped.exited, "0", stopped.output());
});

When("every VM is replaced, one after another", async function(this: ScenarioWorld) {
    for (const vm of this.site.plan.vms) {
        for (const program of ["entry", "gateway"]) {
            const stopped = this.site.findProcess(`${vm.name}-${program}`);
            this.load.mark({ text: `${stopped.name} stopped gracefully` });
            stopped.signal("SIGTERM");
            assert.equal(await stopped.exited, "0", stopped.output());
        }
        await this.site.restart(`${vm.name}-gateway`);
        await this.site.restart(`${vm.name}-entry`);
    }
});
