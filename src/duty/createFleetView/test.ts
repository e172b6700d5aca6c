import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { createFleetView } from "./index.js";

const zones = ["a", "b"];
const small = zones.flatMap(availabilityZone =>
    Array.from(
        { length: 20 },
        (_, index) => createVmIdentity(`${availabilityZone}-${index}`, { availabilityZone, capacity: 0.324 }),
    )
);
const large = zones.flatMap(availabilityZone =>
    Array.from(
        { length: 3 },
        (_, index) => createVmIdentity(`${availabilityZone}-large-${index}`, { availabilityZone, capacity: 1.35 }),
    )
);
const list = [...small, ...large];

describe("createFleetView", () => {
    it("tells hosts from other VMs, and gives each of these the hosts of its zone as relays", () => {
        const view = createFleetView(small[0]!, { list: () => list });
        assert.deepEqual(view.hostVms().map(({ name }) => name).sort(), large.map(({ name }) => name).sort());
        assert.equal(view.isHost(), false);
        assert.deepEqual(view.relays().map(({ name }) => name).sort(), ["a-large-0", "a-large-1", "a-large-2"]);
        assert.equal(createFleetView(large[0]!, { list: () => list }).isHost(), true);
    });

    it("spreads the VMs of a zone over its relays", () => {
        const preferred = small.filter(({ address }) => address.availabilityZone === "a")
            .map(self => createFleetView(self, { list: () => list }).relays()[0]!.name);
        for (const name of ["a-large-0", "a-large-1", "a-large-2"]) {
            const count = preferred.filter(other => other === name).length;
            assert.ok(count >= 2 && count <= 12, `${name} relays ${count} of ${preferred.length}`);
        }
    });

    it("is computed again only when the list changes", () => {
        let current = list;
        const view = createFleetView(small[0]!, { list: () => current });
        const before = view.hostVms();
        assert.equal(view.hostVms(), before);
        current = list.filter(({ name }) => name !== "a-large-0");
        assert.notEqual(view.hostVms(), before);
        assert.equal(view.relays().some(({ name }) => name === "a-large-0"), false);
    });
});
