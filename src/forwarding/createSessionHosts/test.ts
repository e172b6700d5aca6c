import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { chooseHosts } from "../chooseHosts/index.js";
import { forwardingConstants } from "../constants.js";
import { createSessionHosts } from "./index.js";

function createVm(availabilityZone: string, index: number): VmIdentity {
    const name = `${availabilityZone}-${index}`;
    return createVmIdentity(name, { availabilityZone });
}

const vms = ["a", "b", "c"].flatMap(zone => Array.from({ length: 10 }, (_, index) => createVm(zone, index)));
const chosenNames = chooseHosts(["orders"], vms).get("orders")!;
const chosen = vms.filter(({ name }) => chosenNames.has(name));
const zoneHostNames = chosen.filter(vm => vm.address.availabilityZone === "a").map(({ name }) => name);
const outsider = vms.find(vm => vm.address.availabilityZone === "a" && !chosen.includes(vm))!;

function createHosts(self: VmIdentity, alive: readonly VmIdentity[] = vms) {
    const clock = createManualClock();
    const others = alive.filter(vm => vm !== self);
    const hosts = createSessionHosts({
        clock,
        self,
        directory: { groups: () => ["orders"], onChange: () => {} },
        otherVms: () => others,
        isHost: () => chosen.includes(self),
        regionOf: zone => zone === "c" ? "south" : "north",
    });
    return { clock, hosts };
}

describe("createSessionHosts", () => {
    it("spreads sessions over the hosts of the VM's own zone", () => {
        const { hosts } = createHosts(outsider);
        const used = new Set(Array.from({ length: 8 }, () => hosts.hostOf("orders")?.name));
        assert.deepEqual([...used].sort(), [...zoneHostNames].sort());
        assert.equal(hosts.hostCountOf("orders"), 3 * forwardingConstants.hostsPerZone);
    });

    it("serves sessions itself where it is a host", () => {
        const { hosts } = createHosts(chosen[0]!);
        assert.equal(hosts.hostOf("orders"), undefined);
        assert.equal(hosts.isHostOf("orders"), true);
        assert.equal(createHosts(outsider).hosts.isHostOf("orders"), false);
        assert.equal(hosts.otherHostsOf("orders").length, chosen.length - 1);
    });

    it("avoids an unreachable host for a while, and serves sessions itself when all hosts are avoided", async () => {
        const { clock, hosts } = createHosts(outsider);
        const avoided = hosts.hostOf("orders")!;
        hosts.avoid(avoided);
        assert.deepEqual(
            new Set(Array.from({ length: 4 }, () => hosts.hostOf("orders")?.name)),
            new Set(zoneHostNames.filter(name => name !== avoided.name)),
        );
        hosts.avoid(hosts.hostOf("orders")!);
        assert.equal(hosts.hostOf("orders"), undefined);
        await clock.advance(forwardingConstants.avoidMilliseconds);
        assert.notEqual(hosts.hostOf("orders"), undefined);
    });

    describe("of a workspace", () => {
        const workspaces = Array.from({ length: 60 }, (_, index) => `workspace-${index}`);
        const isNorthern = (vm: VmIdentity): boolean => vm.address.availabilityZone !== "c";
        const northern = vms.filter(isNorthern);

        /** Returns the name of the VM that serves the workspace's sessions that arrive at a VM. */
        function findHost(self: VmIdentity, workspace: string, alive = vms): string {
            return createHosts(self, alive).hosts.hostOf("orders", workspace)?.name ?? self.name;
        }

        it("is one host of the region for all its VMs, hosts or not, and another one of each region", () => {
            for (const workspace of workspaces.slice(0, 10)) {
                const names = new Set(northern.map(vm => findHost(vm, workspace)));
                assert.equal(names.size, 1);
                assert.ok(chosen.filter(isNorthern).some(({ name }) => names.has(name)));
                const southern = findHost(vms.at(-1)!, workspace);
                assert.ok(!names.has(southern) && chosenNames.has(southern));
            }
        });

        it("spreads workspaces over the hosts of the region", () => {
            const names = workspaces.map(workspace => findHost(outsider, workspace));
            for (const { name } of chosen.filter(isNorthern)) {
                const count = names.filter(each => each === name).length;
                assert.ok(count >= workspaces.length / 8, `${name} serves ${count} workspaces`);
            }
        });

        it("is the next host while it is avoided, and after it was killed; other workspaces stay", async () => {
            const { clock, hosts } = createHosts(outsider);
            const first = hosts.hostOf("orders", "museum-shops")!;
            hosts.avoid(first);
            const second = hosts.hostOf("orders", "museum-shops")!;
            assert.notEqual(second.name, first.name);
            assert.ok(chosenNames.has(second.name));
            const alive = vms.filter(vm => vm !== first);
            const remaining = new Set(chooseHosts(["orders"], alive).get("orders"));
            const replacement = [...remaining].find(name => !chosenNames.has(name));
            const expected = ["museum-shops", ...workspaces.filter(each => findHost(outsider, each) !== first.name)];
            for (const workspace of expected) {
                const next = findHost(outsider, workspace, alive);
                const previous = workspace === "museum-shops" ? second.name : findHost(outsider, workspace);
                assert.ok(next === previous || next === replacement, `${workspace} moved from ${previous} to ${next}`);
            }
            await clock.advance(forwardingConstants.avoidMilliseconds);
            assert.equal(hosts.hostOf("orders", "museum-shops"), first);
        });

        it("is this VM when all hosts of the region are avoided", () => {
            const { hosts } = createHosts(outsider);
            chosen.forEach(vm => hosts.avoid(vm));
            assert.equal(hosts.hostOf("orders", "museum-shops"), undefined);
        });
    });
});
