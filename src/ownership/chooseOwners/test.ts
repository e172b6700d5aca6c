import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { chooseOwners } from "./index.js";

const endpoint = {
    name: "stock-1",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "north-1",
    region: "north",
    slots: 3,
    connectionLimit: 20,
};

function createPeer(name: string, availabilityZone: string, state = PeerState.Live): PeerRecord {
    return {
        name,
        host: "127.0.0.1",
        port: 1,
        availabilityZone,
        region: availabilityZone.slice(0, 5),
        state,
        incarnation: 1,
    };
}

test("prefers the zone, then the region, then others, lists leaving gateways last and leaves out dead ones", () => {
    const peers = [
        createPeer("leaving", "north-1", PeerState.Leaving),
        createPeer("far", "south-1"),
        createPeer("near", "north-2"),
        createPeer("suspected", "north-1", PeerState.Suspected),
        createPeer("local", "north-1"),
        createPeer("dead", "north-1", PeerState.Dead),
    ];
    const shuffled = createRandomSource(3).shuffle(peers);
    assert.deepEqual(chooseOwners(endpoint, shuffled).map(owner => owner.name), [
        "local",
        "suspected",
        "near",
        "far",
        "leaving",
    ]);
});

test("spreads endpoints evenly and moves only those of a lost gateway", () => {
    const peers = Array.from({ length: 8 }, (_, index) => createPeer(`vm-${index}-gateway`, "north-1"));
    const ownerOf = (index: number, members: readonly PeerRecord[]) =>
        chooseOwners({ ...endpoint, name: `stock-${index}` }, members)[0]?.name;
    const counts = new Map<string, number>();
    for (let index = 0; index < 8_000; index += 1) {
        const owner = ownerOf(index, peers)!;
        counts.set(owner, (counts.get(owner) ?? 0) + 1);
        if (owner !== "vm-3-gateway") {
            assert.equal(ownerOf(index, peers.filter(peer => peer.name !== "vm-3-gateway")), owner);
        }
    }
    for (const count of counts.values()) {
        assert.ok(Math.abs(count - 1_000) < 150, `uneven share ${count}`);
    }
});
