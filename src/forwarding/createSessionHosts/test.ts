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

const vms = ["a", "b"].flatMap(zone => Array.from({ length: 10 }, (_, index) => createVm(zone, index)));
const chosenNames = chooseHosts(["orders"], vms).get("orders")!;
const chosen = vms.filter(({ name }) => chosenNames.has(name));
const zoneHostNames = chosen.filter(vm => vm.address.availabilityZone === "a").map(({ name }) => name);
const outsider = vms.find(vm => vm.address.availabilityZone === "a" && !chosen.includes(vm))!;

function createHosts(self: VmIdentity) {
    const clock = createManualClock();
    const others = vms.filter(vm => vm !== self);
    const hosts = createSessionHosts({
        clock,
        self,
        directory: { groups: () => ["orders"], onChange: () => {} },
        otherVms: () => others,
        isHost: () => chosen.includes(self),
    });
    return { clock, hosts };
}

describe("createSessionHosts", () => {
    it("spreads sessions over the hosts of the VM's own zone", () => {
        const { hosts } = createHosts(outsider);
        const used = new Set(Array.from({ length: 8 }, () => hosts.hostOf("orders")?.name));
        assert.deepEqual([...used].sort(), [...zoneHostNames].sort());
        assert.equal(hosts.hostCountOf("orders"), 2 * forwardingConstants.hostsPerZone);
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
});
