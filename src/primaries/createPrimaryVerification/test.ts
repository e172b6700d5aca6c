import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { directoryConstants } from "../../directory/constants.js";
import { dutyConstants } from "../../duty/constants.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { primaryConstants } from "../constants.js";
import { createPrimaries } from "../createPrimaries/index.js";
import type { EndpointRole } from "../types/EndpointRole.js";
import { Verifiability } from "../types/Verifiability.js";
import { createPrimaryVerification } from "./index.js";

const primary = createEndpointRecord({ id: "i-1", isPrimary: true });

function createSite(
    queryIsPrimary: (endpointId: string) => Promise<boolean | undefined>,
    position?: EndpointRole["position"],
) {
    const clock = createManualClock();
    const replicas = ["i-2", "i-3"].map(id => createEndpointRecord({ id }));
    const directory = createPopulatedDirectory(clock, [primary, ...replicas]);
    const primaries = createPrimaries(clock, directory, () => {});
    const state = {
        hasLease: true,
        holderAgeMilliseconds: 0 as number | undefined,
    };
    const verification = createPrimaryVerification({
        clock,
        directory,
        primaries,
        hasLease: () => state.hasLease,
        holderAgeMilliseconds: () => state.holderAgeMilliseconds,
        queryRole: async id => ({ isPrimary: await queryIsPrimary(id), position }),
        metrics: { countPrimaryVerification: () => {} },
        log: () => {},
    });
    return { clock, state, directory, primaries, verification };
}

describe("createPrimaryVerification", () => {
    it("needs no query with a lease, for the known primary only", () => {
        const { state, primaries, verification } = createSite(async () => false);
        assert.ok(verification.isVerified(primary));
        primaries.beginChange("orders", 2);
        assert.equal(verification.isVerified(primary), false);
        primaries.cancelChange("orders");
        state.hasLease = false;
        assert.equal(verification.isVerified(primary), false);
    });

    it("relies on no lease after an announced change whose end is unknown, also after the change has expired", async () => {
        const { clock, primaries, verification } = createSite(async () => false);
        primaries.beginChange("orders", 2);
        await clock.advance(primaryConstants.changeExpiryMilliseconds);
        assert.equal(primaries.primaryOf("orders")?.id, primary.id);
        assert.equal(verification.isVerified(primary), false);
        primaries.finishChange("orders", primary.id, 2);
        assert.ok(verification.isVerified(primary));
    });

    it("relies on no lease for a registered primary while a term above the announced one was observed", () => {
        const { primaries, verification } = createSite(async () => false);
        const replica = createEndpointRecord({ id: "i-2" });
        primaries.finishChange("orders", replica.id, 1);
        assert.ok(verification.isVerified(replica));
        primaries.recordPosition(replica, { term: 2, entry: 8 });
        assert.equal(primaries.primaryOf("orders")?.id, primary.id);
        assert.equal(verification.isVerified(primary), false);
        primaries.finishChange("orders", replica.id, 3);
        assert.ok(verification.isVerified(replica));
    });

    it("relies on no lease for a primary that answered in a lower term than observed since", async () => {
        const { clock, primaries, verification } = createSite(async () => false);
        primaries.recordPosition(primary, { term: 1, entry: 5 });
        primaries.recordPosition(createEndpointRecord({ id: "i-2" }), { term: 2, entry: 6 });
        await clock.advance(primaryConstants.disqualifiedMilliseconds + 1);
        assert.equal(primaries.primaryOf("orders")?.id, primary.id);
        assert.equal(verification.isVerified(primary), false);
        primaries.recordPosition(primary, { term: 2, entry: 7 });
        assert.equal(verification.isVerified(primary), false, "a replica of the newer term would answer so, too");
        primaries.recordPositionAsPrimary(primary, { term: 2, entry: 7 });
        assert.ok(verification.isVerified(primary));
    });

    it("verifies the primary when all others are replicas, and not when one is primary or gives no clear answer", async () => {
        assert.equal(await createSite(async () => false).verification.verify(primary), true);
        assert.equal(await createSite(async id => id === "i-3").verification.verify(primary), false);
        const unresponsive = createSite(async id => {
            if (id === "i-3") {
                throw new Error("no answer");
            }
            return false;
        });
        assert.equal(await unresponsive.verification.verify(primary), false);
        const unclear = createSite(async id => id === "i-3" ? undefined : false);
        assert.equal(await unclear.verification.verify(primary), false);
    });

    it("does not rely on a query that was sent before the call", async () => {
        const answers: ((isPrimary: boolean) => void)[] = [];
        const { clock, verification } = createSite(() => new Promise(resolve => answers.push(resolve)));
        const before = verification.verify(primary);
        await clock.advance(0);
        const after = verification.verify(primary);
        const shared = verification.verify(primary);
        answers.splice(0).forEach(answer => answer(false));
        assert.equal(await before, true);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(answers.length, 2);
        answers.splice(0).forEach(answer => answer(true));
        assert.equal(await after, false);
        assert.equal(await shared, false);
    });

    it("does not verify a primary while the log of another endpoint has a newer term", async () => {
        const { clock, primaries, verification } = createSite(async () => false, { term: 3, entry: 9 });
        primaries.recordPosition(primary, { term: 2, entry: 8 });
        assert.equal(await verification.verify(primary), false);
        await clock.advance(primaryConstants.disqualifiedMilliseconds);
        primaries.recordPosition(primary, { term: 3, entry: 10 });
        assert.equal(await verification.verify(primary), false, "a replica of the newer term would answer so, too");
        primaries.recordPositionAsPrimary(primary, { term: 3, entry: 10 });
        assert.equal(await verification.verify(primary), true);
    });

    it("allows a write to a primary that a query has verified recently", async () => {
        const { clock, verification } = createSite(async () => false);
        assert.equal(verification.wasVerified(primary), false);
        assert.equal(await verification.verify(primary), true);
        assert.ok(verification.wasVerified(primary));
        await clock.advance(primaryConstants.recentVerificationMilliseconds);
        assert.equal(verification.wasVerified(primary), false);
    });

    it("relies on no lease for another endpoint than the announced one, also when that has no record or refuses", () => {
        for (const announcedId of ["i-2", "i-9"]) {
            const { primaries, verification } = createSite(async () => false);
            primaries.finishChange("orders", announcedId, 2);
            primaries.recordNotPrimary(createEndpointRecord({ id: announcedId }));
            assert.equal(primaries.primaryOf("orders")?.id, primary.id);
            assert.equal(verification.isVerified(primary), false);
        }
    });

    it("verifies no primary while an endpoint may be missing: after long without the holder, or after a loss", async () => {
        const { clock, state, directory, verification } = createSite(async () => false);
        state.holderAgeMilliseconds = undefined;
        assert.equal(verification.verifiabilityOf(primary), Verifiability.NotYet);
        assert.equal(await verification.verify(primary), false);
        state.holderAgeMilliseconds = dutyConstants.longestUnattendedMilliseconds;
        assert.equal(verification.verifiabilityOf(primary), Verifiability.Impossible);
        assert.equal(await verification.verify(primary), false);
        state.holderAgeMilliseconds -= 1;
        assert.equal(verification.verifiabilityOf(primary), Verifiability.Possible);
        assert.equal(await verification.verify(primary), true);
        const { era, revision } = directory.endpoint("i-3")!;
        const removal = { name: "i-3", era, revision: revision + 1, item: undefined };
        directory.applyEndpoints({ isSnapshot: false, changes: [removal] });
        await clock.advance(directoryConstants.missingRecordMilliseconds + directoryConstants.leavingMilliseconds);
        assert.equal(await verification.verify(primary), false);
        await clock.advance(dutyConstants.longestUnattendedMilliseconds);
        assert.equal(await verification.verify(primary), true);
    });

    it("verifies the only endpoint of a group by its own answer", async () => {
        const { directory, verification } = createSite(() => assert.fail("there is no other endpoint"));
        for (const id of ["i-2", "i-3"]) {
            const leaving = { ...directory.endpoint(id)!, isLeaving: true, revision: 8 };
            directory.applyEndpoints({
                isSnapshot: false,
                changes: [{ name: id, era: 0, revision: 8, item: leaving }, {
                    name: id,
                    era: 0,
                    revision: 9,
                    item: undefined,
                }],
            });
        }
        assert.equal(await verification.verify(primary), true);
    });
});
