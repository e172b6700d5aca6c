import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createPromotionSite } from "../../testing/createPromotionSite/index.js";
import { promotionConstants } from "../constants.js";
import { ChangeReason } from "../types/ChangeReason.js";

const { Begun, Cancelled, Finished } = AnnouncementPhase;
const changeMilliseconds = promotionConstants.promotionTimeoutMilliseconds + 2_000;

/** Changes the primary of a site whose platform treats orders as given; returns the error with which it failed. */
async function runChange(
    promote: Parameters<typeof createPromotionSite>[0]["promote"],
    options: { readonly term?: number; } = {},
) {
    const site = createPromotionSite({ promote, ...options });
    let failure: unknown;
    const change = site.changePrimary(site.group, site.primary(), ChangeReason.Leaving).catch((error: unknown) => {
        failure = error;
    });
    await site.clock.advance(changeMilliseconds);
    await change;
    return { site, failure };
}

const failWith = (kind: ErrorKind) => createError(kind, "The order failed.", { remedy: "Try again." });

describe("createPrimaryChange", () => {
    it("announces the term in which the promoted endpoint leads, not one derived from what the holder observed", async () => {
        const { site } = await runChange(async (_id, makePrimary) => makePrimary(), { term: 4 });
        assert.equal(site.announcements().at(-1)?.term, 5);
    });

    it("orders a primary whose term the holder has not observed to step down before it promotes another endpoint", async () => {
        const roles: boolean[] = [];
        const site = createPromotionSite({
            term: 4,
            promote: async (_id, makePrimary) => {
                roles.push(site.endpoints.get("i-1")!.isPrimary);
                makePrimary();
            },
        });
        const change = site.changePrimary(site.group, site.primary(), ChangeReason.Leaving);
        await site.clock.advance(changeMilliseconds);
        await change;
        assert.deepEqual(roles, [false]);
    });

    it("orders an unreachable primary to step down once it answers, but not after it was promoted again", async () => {
        for (const isPromotedAgain of [false, true]) {
            const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
            site.unreachableIds.add("i-1");
            site.isolatedIds.add("i-1");
            const change = site.changePrimary(site.group, site.primary(), ChangeReason.Unreachable);
            await site.clock.advance(changeMilliseconds);
            await change;
            assert.ok(site.endpoints.get("i-1")!.isPrimary);
            if (isPromotedAgain) {
                site.makePrimary("i-1");
            }
            site.unreachableIds.delete("i-1");
            await site.clock.advance(2 * promotionConstants.stepDownPauseMilliseconds);
            assert.equal(site.endpoints.get("i-1")!.isPrimary, isPromotedAgain);
        }
    });

    it("announces the beginning and the end of a change", async () => {
        const { site, failure } = await runChange(async (_id, makePrimary) => makePrimary());
        assert.equal(failure, undefined);
        assert.deepEqual(site.phases(), [Begun, Finished]);
        assert.equal(site.primaries.isChangeUnfinished(site.group), false);
    });

    it("orders nothing for a change that it began before it lost the failover duty and won it again", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        let token = 4;
        site.duty.heldToken = () => token;
        site.duty.verify = async () => token;
        site.duty.waitForLeases = async () => {
            token = 6;
        };
        const change = site.changePrimary(site.group, site.primary(), ChangeReason.Unreachable).catch(() => {});
        await site.clock.advance(changeMilliseconds);
        await change;
        assert.deepEqual(site.orderedIds, []);
    });

    it("orders a superseded primary to step down again after it was too busy for the order", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        site.isolatedIds.add("i-1");
        site.unreachableIds.add("i-1");
        const change = site.changePrimary(site.group, site.primary(), ChangeReason.Unreachable);
        await site.clock.advance(changeMilliseconds);
        await change;
        site.unreachableIds.delete("i-1");
        site.busyIds.add("i-1");
        await site.clock.advance(2 * promotionConstants.stepDownPauseMilliseconds);
        assert.ok(site.endpoints.get("i-1")!.isPrimary);
        site.busyIds.delete("i-1");
        await site.clock.advance(2 * promotionConstants.stepDownPauseMilliseconds);
        assert.equal(site.endpoints.get("i-1")!.isPrimary, false);
    });

    it("orders nothing when the VM was suspended after it had verified that it holds the duty", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        const { maximumVerificationMilliseconds } = promotionConstants;
        let suspendedMilliseconds = 0;
        site.clock.wallTime = () => site.clock.now() + suspendedMilliseconds;
        site.duty.verify = async () => {
            suspendedMilliseconds += maximumVerificationMilliseconds + 1;
            return 1;
        };
        const change = site.changePrimary(site.group, site.primary(), ChangeReason.Leaving).catch(() => {});
        await site.clock.advance(changeMilliseconds);
        await change;
        assert.deepEqual(site.orderedIds, []);
        assert.deepEqual(site.phases(), [Begun, Cancelled]);
    });

    it("cancels a change whose order was certainly not executed", async () => {
        const { site, failure } = await runChange(async () => {
            throw failWith(ErrorKind.Conflict);
        });
        assert.ok(failure);
        assert.deepEqual(site.phases(), [Begun, Cancelled]);
    });

    it("does not cancel a change while the order of an earlier one may still take effect", async () => {
        const site = createPromotionSite({
            promote: async () => {
                throw failWith(ErrorKind.Conflict);
            },
        });
        site.primaries.beginChange(site.group, 2);
        const change = site.changePrimary(site.group, site.primary(), ChangeReason.Leaving).catch(() => {});
        await site.clock.advance(changeMilliseconds);
        await change;
        assert.deepEqual(site.phases(), [Begun]);
        assert.ok(site.primaries.isChangeUnfinished(site.group));
    });

    it("finishes a change although the answer to its order was lost", async () => {
        const { site, failure } = await runChange(async (_id, makePrimary) => {
            makePrimary();
            throw failWith(ErrorKind.OutcomeUnknown);
        });
        assert.equal(failure, undefined);
        assert.deepEqual(site.phases(), [Begun, Finished]);
    });

    it("does not cancel a change whose order may still take effect, so no lease vouches for the old primary", async () => {
        for (const lost of [true, false]) {
            const { site, failure } = await runChange(async () => {
                if (lost) {
                    throw failWith(ErrorKind.OutcomeUnknown);
                }
            });
            assert.ok(failure);
            assert.deepEqual(site.phases(), [Begun]);
            assert.ok(site.primaries.isChangeUnfinished(site.group));
        }
    });
});
