import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { forwardingConstants } from "../constants.js";
import { chooseHosts } from "./index.js";

const createVms = (availabilityZone: string, count: number) =>
    Array.from({ length: count }, (_, index) => ({
        name: `${availabilityZone}-${index}`,
        address: { availabilityZone },
    }));

const groups = ["g1", "g2", "g3", "g4", "g5", "g6"];

describe("chooseHosts", () => {
    it("chooses all VMs of a small zone and a few of a large one", () => {
        const small = createVms("a", forwardingConstants.maximumSmallZoneVms);
        const names = chooseHosts(["orders"], [...small, ...createVms("b", 14)]).get("orders")!;
        assert.equal([...names].filter(name => name.startsWith("a")).length, small.length);
        assert.equal([...names].filter(name => name.startsWith("b")).length, forwardingConstants.hostsPerZone);
    });

    it("chooses the same VMs whatever the order of groups and VMs", () => {
        const vms = createVms("a", 14);
        const choose = (list: typeof vms, named: readonly string[]) =>
            [...chooseHosts(named, list)].map(([group, names]) => [group, [...names].sort()] as const).sort();
        assert.deepEqual(choose(vms, groups), choose([...vms].reverse(), [...groups].reverse()));
    });

    it("assigns no VM a second group before each has one", () => {
        const chosen = chooseHosts(groups, createVms("a", 14));
        const used = [...chosen.values()].flatMap(names => [...names]);
        assert.equal(used.length, groups.length * forwardingConstants.hostsPerZone);
        assert.equal(new Set(used).size, used.length);
    });

    it("assigns every group its hosts although there are few VMs", () => {
        const chosen = chooseHosts(groups, createVms("a", forwardingConstants.maximumSmallZoneVms + 1));
        for (const names of chosen.values()) {
            assert.equal(names.size, forwardingConstants.hostsPerZone);
        }
    });

    it("moves few groups when a VM is removed", () => {
        const vms = createVms("a", 14);
        const before = chooseHosts(groups, vms);
        const removedName = [...before.get("g1")!][0]!;
        const after = chooseHosts(groups, vms.filter(({ name }) => name !== removedName));
        const kept = groups.flatMap(group => [...after.get(group)!].filter(name => before.get(group)!.has(name)));
        assert.ok(
            kept.length >= groups.length * forwardingConstants.hostsPerZone - 4,
            `only ${kept.length} assignments stay`,
        );
    });
});
