import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { forwardingConstants } from "../../forwarding/constants.js";
import { directoryConstants } from "../constants.js";
import { createWatchPolicy } from "./index.js";

const createVms = (count: number): readonly VmIdentity[] =>
    Array.from({ length: count }, (_, index) => ({
        name: `vm-${index}`,
        address: { host: `vm-${index}`, port: 1, availabilityZone: "a" },
        incarnation: "1",
    }));

function listWatching(vms: readonly VmIdentity[], changes: { isFresh?: boolean; holder?: string; } = {}) {
    return vms.filter(self =>
        createWatchPolicy({
            self,
            otherVms: () => vms.filter(vm => vm !== self),
            isHolder: () => self.name === changes.holder,
            freshness: { isFresh: () => changes.isFresh ?? true },
        }).isWatching()
    );
}

describe("createWatchPolicy", () => {
    it("lets every VM of a small zone watch", () => {
        const vms = createVms(forwardingConstants.maximumSmallZoneVms);
        assert.equal(listWatching(vms).length, vms.length);
    });

    it("lets a few VMs of a large zone watch, and the holder of the failover duty", () => {
        const vms = createVms(14);
        const watching = listWatching(vms);
        assert.equal(watching.length, forwardingConstants.hostsPerZone);
        const holder = vms.find(vm => !watching.includes(vm))!.name;
        assert.equal(listWatching(vms, { holder }).length, forwardingConstants.hostsPerZone + 1);
    });

    it("lets every VM whose data is not fresh watch", () => {
        const vms = createVms(14);
        assert.equal(listWatching(vms, { isFresh: false }).length, vms.length);
    });

    it("returns a shorter watch for a large zone", () => {
        const [self, ...others] = createVms(14);
        const watchPolicy = createWatchPolicy({
            self: self!,
            otherVms: () => others,
            isHolder: () => false,
            freshness: { isFresh: () => true },
        });
        assert.equal(watchPolicy.watchMilliseconds(), directoryConstants.sharedWatchMilliseconds);
    });
});
