import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createMemoryRecords } from "../../testing/createMemoryRecords/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { promotionConstants } from "../constants.js";
import { createSharedEndpoints } from "./index.js";

const first = createEndpointRecord({ id: "i-1", revision: 1 });

/** Creates the knowledge of a holder; the other VMs have reported the given version. */
function createHolder(records = createMemoryRecords(), token = 1) {
    const clock = createManualClock();
    const directory = createPopulatedDirectory(clock, [first]);
    const state = { commonVersion: undefined as StoreVersion | undefined };
    const duty = { heldToken: () => token, findCommonVersion: () => state.commonVersion };
    const shared = createSharedEndpoints({ clock, directory, duty, records, log: () => {} });
    const apply = (id: string, revision: number, isRegistered = true): void => {
        const item = isRegistered ? createEndpointRecord({ id, revision }) : undefined;
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: id, era: 0, revision, item }] });
    };
    const update = async (): Promise<void> => {
        shared.update();
        await clock.advance(promotionConstants.sharedEndpointsIntervalMilliseconds);
    };
    return { clock, directory, state, shared, apply, update };
}

describe("createSharedEndpoints", () => {
    it("counts an endpoint as known to all once all VMs have reported a directory that has it", async () => {
        const { state, shared, apply, update } = createHolder();
        apply("i-2", 7);
        await update();
        assert.equal(shared.isKnownToAll(first), false, "not all VMs have reported");
        state.commonVersion = { era: 0, revision: 6 };
        await update();
        assert.ok(shared.isKnownToAll(first));
        assert.equal(shared.isKnownToAll({ id: "i-2" }), false);
        state.commonVersion = { era: 0, revision: 7 };
        await update();
        assert.ok(shared.isKnownToAll({ id: "i-2" }));
    });

    it("counts an endpoint as known to all once no VM that lacks it verifies a primary any more", async () => {
        const { clock, shared, update } = createHolder();
        await clock.advance(promotionConstants.sharedEndpointMilliseconds - 1);
        await update();
        assert.equal(shared.isKnownToAll(first), false);
        await update();
        assert.ok(shared.isKnownToAll(first));
    });

    it("hands what it knows to the next holder, without an endpoint that disappeared and came back", async () => {
        const records = createMemoryRecords();
        const holder = createHolder(records);
        holder.apply("i-2", 7);
        holder.state.commonVersion = { era: 0, revision: 7 };
        await holder.update();
        holder.apply("i-2", 8, false);
        await holder.clock.advance(10_000);
        assert.equal(holder.directory.endpoint("i-2"), undefined);
        holder.state.commonVersion = { era: 0, revision: 8 };
        holder.apply("i-2", 9);
        await holder.update();
        assert.equal(holder.shared.isKnownToAll({ id: "i-2" }), false);

        const next = createHolder(records, 2);
        next.apply("i-2", 9);
        await next.update();
        assert.ok(next.shared.isKnownToAll(first));
        assert.equal(next.shared.isKnownToAll({ id: "i-2" }), false);
    });

    it("records its knowledge again when the store was restored from a copy that lacks it", async () => {
        const records = createMemoryRecords();
        const { directory, state, update } = createHolder(records);
        state.commonVersion = { era: 0, revision: 1 };
        await update();
        const { revision } = (await records.read(promotionConstants.sharedEndpointsRecordName))!;
        await records.replace(promotionConstants.sharedEndpointsRecordName, {}, revision);
        const item = { ...first, era: 1, reportNumber: 9 };
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: "i-1", era: 1, revision: 1, item }] });
        await update();
        const { content } = (await records.read(promotionConstants.sharedEndpointsRecordName))!;
        assert.deepEqual(content, { endpointIds: ["i-1"] });
    });
});
