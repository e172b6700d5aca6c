import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createFixedMembership } from "../../testing/createFixedMembership/index.js";
import { chooseCoordinators } from "../chooseCoordinators/index.js";
import { groupGatewaysByZone } from "../groupGatewaysByZone/index.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import { createCoordinatorIndex } from "./index.js";

const primary = { availabilityZone: "zone-0", region: "north" };
const databases = Array.from({ length: 50 }, (_, index) => `database-${index}`);

function createPeer(index: number): PeerRecord {
    return {
        name: `gateway-${index}`,
        host: "127.0.0.1",
        port: index,
        availabilityZone: `zone-${index % 4}`,
        region: "north",
        state: PeerState.Live,
        incarnation: 0,
    };
}

test("cached coordinators equal a fresh choice after any change of peers", () => {
    const random = createRandomSource(3);
    const all = Array.from({ length: 60 }, (_, index) => createPeer(index));
    const endpoints = { "stock-1": primary };
    const content = {
        databases: Object.fromEntries(databases.map(name => [name, { initialPrimary: "stock-1", endpoints }])),
    };
    const membership = createFixedMembership(all[0]!, all);
    const dependencies = {
        membership,
        configuration: { current: () => ({ version: 1, content }) },
        dissemination: { get: () => undefined },
    };
    const index = createCoordinatorIndex(dependencies as unknown as FailoverDependencies);
    for (let change = 0; change < 60; change += 1) {
        const peers = random.shuffle(all).slice(
            0,
            change < 30 ? 59 - random.nextInteger(3) : 3 + random.nextInteger(9),
        );
        membership.setPeers(peers);
        index.refreshPeers();
        for (const database of databases) {
            const expected = chooseCoordinators(database, primary, groupGatewaysByZone(peers));
            const names = (chosen: readonly PeerRecord[]) => chosen.map(({ name }) => name);
            assert.deepEqual(names(index.coordinatorsOf(database)), names(expected));
        }
    }
});
