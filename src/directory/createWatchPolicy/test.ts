import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { directoryConstants } from "../constants.js";
import { createWatchPolicy } from "./index.js";

const configurationMilliseconds = 4_000;
const { maximumWatchers, staleShare, standbyWatchers, watchShare, rankDelayMilliseconds } = directoryConstants;
const staleMilliseconds = staleShare * configurationMilliseconds;

/** Conditions under which the VMs of a fleet decide whether to watch. */
interface Conditions {
    readonly ageMilliseconds?: number;
    readonly holder?: string;
    readonly isInContact?: boolean;
    /** VMs that are not hosts. */
    readonly ordinaryCount?: number;
}

function listWatching(hostCount: number, conditions: Conditions = {}): readonly string[] {
    const { ageMilliseconds = 0, holder, isInContact = true, ordinaryCount = 0 } = conditions;
    const hostVms = Array.from({ length: hostCount }, (_, index) => ({ name: `host-${index}` }));
    const ordinaryVms = Array.from({ length: ordinaryCount }, (_, index) => ({ name: `vm-${index}` }));
    return [...hostVms, ...ordinaryVms].map(({ name }) => name).filter(name =>
        createWatchPolicy({
            name,
            hostVms: () => hostVms,
            isHolder: () => name === holder,
            isInContact: () => isInContact,
            freshness: { ageMilliseconds: () => ageMilliseconds },
            configurationMilliseconds,
        }).isWatching()
    );
}

describe("createWatchPolicy", () => {
    it("lets the holder and a standby watch, whatever the size of the fleet", () => {
        for (const hostCount of [8, 18, 400]) {
            assert.equal(listWatching(hostCount).length, standbyWatchers);
            const [standby] = listWatching(hostCount);
            const holder = standby === "host-1" ? "host-2" : "host-1";
            assert.equal(listWatching(hostCount, { holder }).length, standbyWatchers + 1);
        }
    });

    it("lets a few hosts more watch when the data is stale, one after the other", () => {
        const conditions = { ordinaryCount: 200 };
        const justStale = listWatching(40, { ...conditions, ageMilliseconds: staleMilliseconds + 1 });
        assert.equal(justStale.length, standbyWatchers);
        const [ageOfSecond, ageOfAll] = [1.5, maximumWatchers].map(ranks =>
            staleMilliseconds + ranks * rankDelayMilliseconds
        );
        assert.equal(listWatching(40, { ...conditions, ageMilliseconds: ageOfSecond! }).length, 2);
        assert.equal(listWatching(40, { ...conditions, ageMilliseconds: ageOfAll! }).length, maximumWatchers);
        assert.equal(listWatching(40, { ...conditions, ageMilliseconds: 60_000 }).length, maximumWatchers);
    });

    it("lets every VM watch whose data is stale and which no other VM answers", () => {
        const conditions = { ordinaryCount: 200, isInContact: false };
        assert.equal(listWatching(40, { ...conditions, ageMilliseconds: 60_000 }).length, 240);
        assert.equal(listWatching(40, conditions).length, standbyWatchers);
    });

    it("does not let a VM watch that has just read the store and does not know the other VMs yet", () => {
        const policy = createWatchPolicy({
            name: "host-0",
            hostVms: () => [],
            isHolder: () => false,
            isInContact: () => false,
            freshness: { ageMilliseconds: () => 0 },
            configurationMilliseconds,
        });
        assert.equal(policy.isWatching(), false);
    });

    it("lets every VM of a small fleet have the newest configuration in time although no other VM reads it", () => {
        const lastAt = staleMilliseconds + maximumWatchers * rankDelayMilliseconds;
        assert.ok(lastAt + directoryConstants.watchPollingMilliseconds < configurationMilliseconds);
        assert.equal(listWatching(8, { ageMilliseconds: lastAt + 1 }).length, 8);
    });

    it("returns a watch that ends before the data is stale", () => {
        const policy = createWatchPolicy({
            name: "host-0",
            hostVms: () => [],
            isHolder: () => true,
            isInContact: () => true,
            freshness: { ageMilliseconds: () => 0 },
            configurationMilliseconds,
        });
        assert.equal(policy.watchMilliseconds(), watchShare * configurationMilliseconds);
        assert.ok(policy.watchMilliseconds() < staleMilliseconds);
    });
});
