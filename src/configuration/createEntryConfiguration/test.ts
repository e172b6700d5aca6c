import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createConfigurationFleet } from "../../testing/createConfigurationFleet/index.js";
import { createPeers } from "../../transport/createPeers/index.js";
import type { ConfigurationService } from "../types/ConfigurationService.js";
import { createEntryConfiguration } from "./index.js";

const clock = createSystemClock();

function waitForVersion(configuration: ConfigurationService, version: number): Promise<void> {
    return new Promise(resolve => {
        const check = (): void => {
            if (configuration.current().version >= version) {
                stopListening();
                resolve();
            }
        };
        const stopListening = configuration.onChange(check);
        check();
    });
}

test("an entry follows its local gateway, falls back to another one, and its version never decreases", async () => {
    const fleet = createConfigurationFleet(3);
    const [local, other] = [await fleet.add(), await fleet.add()];
    const events = createEventRecorder("entry-1", clock);
    const identity = { name: "entry-1", availabilityZone: "a", peerSecret: "secret-of-the-fleet" };
    const peers = createPeers(identity, createUnemulatedNetwork("a"), events);
    const entry = createEntryConfiguration({
        localGateway: local.address,
        otherGateways: [other.address],
        peers,
        events,
        clock,
        random: createRandomSource(1),
        logger: createLogger("entry-1", clock),
    });
    const versions: number[] = [];
    entry.onChange(({ version }) => versions.push(version));
    await entry.start();
    const submit = (against: number) =>
        other.configuration.submitPatch({
            against,
            patchText: `{ "limits": { "requestBytes": ${against + 1} } }`,
            patchId: `p-${against}`,
            author: "operator",
        });
    await submit(0);
    await waitForVersion(entry, 1);
    await local.stop();
    await submit(1);
    await waitForVersion(entry, 2);
    assert.deepEqual(versions, [1, 2]);
    assert.equal(entry.current().content.limits.requestBytes, 2);
    const [attached] = other.configuration.status().entries;
    assert.deepEqual(attached?.process, "entry-1");
    await entry.stop();
    await peers.stop();
    await fleet.stop();
});
