import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { groupGatewaysByZone } from "../groupGatewaysByZone/index.js";
import { chooseCoordinators } from "./index.js";

const primary = { availabilityZone: "north-a", region: "north" };
const peers: PeerRecord[] = Array.from({ length: 24 }, (_, index) => ({
    name: `gateway-${index}`,
    host: "127.0.0.1",
    port: index,
    availabilityZone: ["north-a", "north-b", "south-a"][index % 3] as string,
    region: index % 3 === 2 ? "south" : "north",
    state: PeerState.Live,
    incarnation: 0,
}));
const databases = Array.from({ length: 200 }, (_, index) => `database-${index}`);
const choose = (database: string, among = peers) =>
    chooseCoordinators(database, primary, groupGatewaysByZone(among)).map(peer => peer.name);
const zoneOf = (name: string | undefined) => peers.find(peer => peer.name === name)?.availabilityZone;

test("the coordinator is in another zone of the primary's region, and one standby in a further zone", () => {
    for (const database of databases) {
        const [first, second, third] = choose(database);
        assert.equal(zoneOf(first), "north-b");
        assert.equal(zoneOf(second), "north-b");
        assert.equal(zoneOf(third), "south-a");
    }
    assert.ok(
        new Set(databases.map(database => choose(database)[0])).size === 8,
        "not all gateways of the zone coordinate",
    );
});

test("a standby takes over when a gateway or its zone is lost, and other databases keep their coordinator", () => {
    for (const database of databases) {
        const [first, second, third] = choose(database);
        const lost = peers.filter(peer => peer.name !== first);
        assert.equal(choose(database, lost)[0], second);
        assert.equal(choose(database, peers.filter(peer => peer.availabilityZone !== "north-b"))[0], third);
        const other = peers.find(peer => peer.name !== first && peer.name !== second);
        assert.equal(choose(database, peers.filter(peer => peer !== other))[0], first);
    }
});

test("gateways of the primary's own zone coordinate when there is no other zone", () => {
    const own = peers.filter(peer => peer.availabilityZone === "north-a");
    assert.equal(choose("stock", own).length, 3);
});
