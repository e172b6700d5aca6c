import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { forwardingConstants } from "../constants.js";
import { chooseHosts } from "./index.js";

const createVms = (availabilityZone: string, count: number) =>
    Array.from({ length: count }, (_, index) => ({
        name: `${availabilityZone}-${index}`,
        address: { availabilityZone },
        capacity: 1,
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

    it("spreads the groups over the hosts of a zone by capacity", () => {
        const vms = createVms("a", 14).map((vm, index) => ({ ...vm, capacity: index < 2 ? 4 : 1 }));
        const chosen = chooseHosts(groups, vms);
        const loads = vms.map(({ name }) => [...chosen.values()].filter(names => names.has(name)).length);
        assert.equal(loads.reduce((sum, load) => sum + load), groups.length * forwardingConstants.hostsPerZone);
        const [first, second, ...small] = loads;
        assert.ok(first! >= groups.length - 1 && second! >= groups.length - 1, `loads ${loads.join(" ")}`);
        assert.equal(small.filter(load => load > 0).length, 1);
        assert.ok(Math.max(...small) <= 2, `loads ${loads.join(" ")}`);
    });

    it("gives no host more groups than its share and a quarter", () => {
        const chosen = chooseHosts(groups, createVms("a", 14));
        const used = [...chosen.values()].flatMap(names => [...names]);
        const loads = [...new Set(used)].map(name => used.filter(other => other === name).length);
        const { hostsPerZone, maximumLoadFactor } = forwardingConstants;
        const poolSize = 4;
        assert.ok(Math.max(...loads) <= Math.ceil(maximumLoadFactor * groups.length * hostsPerZone / poolSize));
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
