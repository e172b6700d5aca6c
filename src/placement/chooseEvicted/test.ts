import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { placementConstants } from "../constants.js";
import { countByOwner } from "../countByOwner/index.js";
import type { EvictionCandidate } from "../types/EvictionCandidate.js";
import { chooseEvicted } from "./index.js";

const { abandonedMilliseconds, minimumResidenceMilliseconds, unservedResidenceMilliseconds } = placementConstants;
const now = 100_000;
const limit = 6;

/** Creates an idle connection that was opened long ago and served its owner last this many milliseconds ago. */
function createCandidate(owner: string, idleMilliseconds: number, changes: Partial<EvictionCandidate> = {}) {
    return { owner, priority: 1, openedAt: 0, lastServedAt: now - idleMilliseconds, ...changes };
}

function choose(
    owner: string,
    idle: readonly EvictionCandidate[],
    busyOwners: readonly string[] = [],
    { priority = 1, lastLessUrgentAt = -Infinity } = {},
) {
    const counts = countByOwner([...idle, ...busyOwners.map(owner => ({ owner }))]);
    return chooseEvicted({ owner, priority }, { idle, counts, limit }, { lastLessUrgentAt }, now);
}

describe("chooseEvicted", () => {
    it("chooses the least recently used connection of the owner with the most", () => {
        const idle = [createCandidate("large", 30), createCandidate("large", 50), createCandidate("small", 900)];
        assert.equal(choose("new", idle), idle[1]);
        assert.equal(choose("new", [createCandidate("a", 300), createCandidate("b", 400)])?.owner, "b");
    });

    it("keeps the connections of small owners when a large one needs more, unless they were abandoned", () => {
        const busy = ["large", "large"];
        const small = createCandidate("small", abandonedMilliseconds - 1);
        const abandoned = createCandidate("other", abandonedMilliseconds);
        assert.equal(choose("large", [small], busy), undefined);
        assert.equal(choose("large", [small, abandoned], busy), abandoned);
        assert.equal(choose("large", [small, abandoned], [...busy, "large"]), undefined);
    });

    it("lets a new owner wait for one with several connections rather than take another's only one", () => {
        const busy = ["large", "large", "large"];
        assert.equal(choose("new", [createCandidate("small", 100)], busy), undefined);
        assert.equal(choose("new", [createCandidate("small", 100)])?.owner, "small");
        assert.equal(choose("new", [createCandidate("small", 200)], busy)?.owner, "small");
    });

    it("keeps a new connection for a time, and longer until it has served its owner", () => {
        const servedOf = (age: number) => createCandidate("other", 1, { openedAt: now - age });
        assert.equal(choose("new", [servedOf(minimumResidenceMilliseconds - 1)]), undefined);
        assert.equal(choose("new", [servedOf(minimumResidenceMilliseconds)])?.owner, "other");
        const unservedOf = (age: number) => ({ ...servedOf(age), lastServedAt: undefined });
        assert.equal(choose("new", [unservedOf(unservedResidenceMilliseconds - 1)]), undefined);
        assert.equal(choose("new", [unservedOf(unservedResidenceMilliseconds)])?.owner, "other");
    });

    it("chooses connections of less urgent statements first, and those of urgent ones in use in intervals", () => {
        const urgent = createCandidate("urgent", 10, { priority: 0 });
        const other = createCandidate("other", 10, { priority: 2 });
        assert.equal(choose("new", [urgent, other], ["urgent"]), other);
        assert.equal(choose("urgent", [other], ["urgent", "urgent"], { priority: 0 }), other);
        assert.equal(choose("new", [urgent], ["urgent"]), urgent);
        assert.equal(choose("new", [urgent], ["urgent"], { lastLessUrgentAt: now - 1 }), undefined);
        assert.equal(choose("new", [urgent], ["urgent", "new"]), undefined);
        const unused = createCandidate("urgent", 200, { priority: 0 });
        assert.equal(choose("new", [unused], ["urgent"], { lastLessUrgentAt: now - 1 }), unused);
    });

    it("chooses a connection that was opened ahead for a new owner, but not for one that has several", () => {
        const ahead = createCandidate("small", 150, { priority: placementConstants.aheadPriority });
        const used = createCandidate("other", 300);
        assert.equal(choose("new", [used, ahead]), ahead);
        assert.equal(choose("large", [used, ahead], ["large", "large"]), undefined);
    });

    it("evens out two owners and then stops: neither takes back what the other got", () => {
        const owners = ["a", "a", "a", "a", "b"];
        let evictionCount = 0;
        for (let round = 0; round < 20; round += 1) {
            const owner = round % 2 === 0 ? "b" : "a";
            const evicted = choose(owner, owners.map(each => createCandidate(each, 10)));
            if (evicted !== undefined) {
                owners.splice(owners.indexOf(evicted.owner), 1, owner);
                evictionCount += 1;
            }
        }
        assert.equal(evictionCount, 1);
        assert.equal(owners.filter(owner => owner === "b").length, 2);
    });
});
