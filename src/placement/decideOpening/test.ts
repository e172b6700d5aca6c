import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { workspaceConstants } from "../../workspaces/constants.js";
import { placementConstants } from "../constants.js";
import { countByOwner } from "../countByOwner/index.js";
import { OpeningDecisionKind } from "../types/OpeningDecisionKind.js";
import { decideOpening } from "./index.js";

const now = 100_000;
const recentRefusal = { at: now - 1, connectionCount: 3 };
const { Open, Replace, Wait } = OpeningDecisionKind;

/** Decides for an owner, with connections that are all idle or all in use. */
function decide(
    owner: string,
    owners: readonly string[],
    {
        isIdle = true,
        refusal = undefined as typeof recentRefusal | undefined,
        evictionsPaidUntil = -Infinity,
        lastLessUrgentAt = -Infinity,
    } = {},
): OpeningDecisionKind {
    const idle = owners.map(each => ({ owner: each, priority: 1, openedAt: 0, lastServedAt: now - 500 }));
    const occupancy = { idle: isIdle ? idle : [], counts: countByOwner(idle), limit: 4 };
    return decideOpening({ owner, priority: 1 }, occupancy, { refusal, evictionsPaidUntil, lastLessUrgentAt }, now)
        .kind;
}

describe("decideOpening", () => {
    it("opens up to the limit, then replaces an idle connection of another owner, else waits", () => {
        assert.equal(decide("a", ["b", "b", "b"]), Open);
        assert.equal(decide("a", ["b", "b", "b", "b"]), Replace);
        assert.equal(decide("a", ["b", "b", "b", "b"], { isIdle: false }), Wait);
        assert.equal(decide("a", ["a", "a", "a", "a"]), Wait);
        assert.equal(decide("a", [], { refusal: recentRefusal }), Open);
    });

    it("replaces a few connections at once and then as many as the mean interval allows", () => {
        const { evictionAheadMilliseconds } = placementConstants;
        const owners = ["b", "b", "b", "b"];
        assert.equal(decide("a", owners, { evictionsPaidUntil: now + evictionAheadMilliseconds }), Replace);
        assert.equal(decide("a", owners, { evictionsPaidUntil: now + evictionAheadMilliseconds + 1 }), Wait);
    });

    it("replaces or waits for a while after a refusal, and asks again only for an owner without a connection", () => {
        const refusal = recentRefusal;
        assert.equal(decide("a", ["b", "b", "b"], { refusal }), Replace);
        assert.equal(decide("a", ["a", "b", "b"], { refusal, isIdle: false }), Wait);
        assert.equal(decide("a", ["b", "b", "b"], { refusal, isIdle: false }), Wait);
        const olderRefusal = { ...refusal, at: now - placementConstants.connectionLimitPauseMilliseconds };
        assert.equal(decide("a", ["b", "b", "b"], { refusal: olderRefusal, isIdle: false }), Open);
        assert.equal(decide("a", ["a", "b", "b"], { refusal: olderRefusal, isIdle: false }), Wait);
        const oldRefusal = { ...refusal, at: now - placementConstants.darkConnectionMilliseconds };
        assert.equal(decide("a", ["a", "b", "b"], { refusal: oldRefusal, isIdle: false }), Open);
    });

    it("follows the limit alone where there are no workspaces", () => {
        const { anonymousOwner } = workspaceConstants;
        const owners = [anonymousOwner, anonymousOwner, anonymousOwner];
        assert.equal(decide(anonymousOwner, owners, { refusal: recentRefusal }), Open);
        assert.equal(decide("a", ["a", "a", "a"], { refusal: recentRefusal }), Wait);
    });
});
