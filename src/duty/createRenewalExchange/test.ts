import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createStoreFreshness } from "../../directory/createStoreFreshness/index.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { createAnnouncements } from "../createAnnouncements/index.js";
import { createVmList } from "../createVmList/index.js";
import { createRenewalExchange } from "./index.js";

const state = { isHolder: true, isCertain: true, token: 1 };

/** Creates a VM whose directory has some endpoints. */
function createSide(clock: ReturnType<typeof createManualClock>, name: string, endpoints: readonly EndpointRecord[]) {
    const directory = createPopulatedDirectory(clock, endpoints);
    const freshness = createStoreFreshness(clock);
    const exchange = createRenewalExchange({
        clock,
        self: { name, address: { host: name, port: 1, availabilityZone: "a" }, incarnation: "1" },
        directory,
        freshness,
        vms: createVmList(clock),
        announcements: createAnnouncements(() => {}),
    });
    return { directory, freshness, exchange };
}

function createPair() {
    const clock = createManualClock();
    const endpoint = createEndpointRecord({ isLeaving: true });
    const holder = createSide(clock, "vm-1", [endpoint]);
    const member = createSide(clock, "vm-2", [endpoint]);
    const renew = (from = member): void => {
        const sentAt = clock.now();
        from.exchange.applyAnswer(holder.exchange.answer(from.exchange.createRenewal(true), state), sentAt);
    };
    return { clock, holder, member, renew };
}

const removal = { isSnapshot: false, changes: [{ name: "i-1", revision: 9, item: undefined }] };

describe("createRenewalExchange", () => {
    it("sends removals of records to a VM that does not watch the store", () => {
        const { holder, member, renew } = createPair();
        holder.directory.applyEndpoints(removal);
        assert.equal(holder.directory.endpoint("i-1"), undefined);
        renew();
        assert.equal(member.directory.endpoint("i-1"), undefined);
        assert.equal(member.directory.highestRevision(), 9);
    });

    it("sends the holder the state that a VM has read from the store", () => {
        const { holder, member, renew } = createPair();
        renew();
        member.directory.applyEndpoints(removal);
        renew();
        assert.equal(holder.directory.endpoint("i-1"), undefined);
    });

    it("does not remove a record that was written after an older removal", () => {
        const { holder, member, renew } = createPair();
        holder.directory.applyEndpoints(removal);
        const item = createEndpointRecord({ revision: 12 });
        holder.directory.applyEndpoints({ isSnapshot: false, changes: [{ name: "i-1", revision: 12, item }] });
        renew();
        assert.equal(member.directory.endpoint("i-1")?.revision, 12);
    });

    it("sends the age of the data read from the store", async () => {
        const { clock, holder, member, renew } = createPair();
        holder.freshness.recordAnswer("endpoints");
        await clock.advance(500);
        renew();
        assert.equal(member.freshness.ageMilliseconds(), 500);
        assert.equal(member.freshness.isFresh(), true);
    });
});
