import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { rankByWeightedRendezvous } from "./index.js";

const weights = new Map([["small", 1], ["medium", 2], ["large", 5]]);
const keys = Array.from({ length: 4_000 }, (_, index) => `key-${index}`);

describe("rankByWeightedRendezvous", () => {
    it("ranks a name first for a share of the keys that is proportional to its weight", () => {
        const firsts = keys.map(key => rankByWeightedRendezvous(key, weights)[0]);
        for (const [name, weight] of weights) {
            const share = firsts.filter(first => first === name).length / keys.length;
            assert.ok(Math.abs(share - weight / 8) < 0.03, `${name} is first for ${share}`);
        }
    });

    it("keeps the order of the others when a name is removed", () => {
        const fewer = new Map([...weights].filter(([name]) => name !== "medium"));
        for (const key of keys.slice(0, 100)) {
            const kept = rankByWeightedRendezvous(key, weights).filter(name => name !== "medium");
            assert.deepEqual(rankByWeightedRendezvous(key, fewer), kept);
        }
    });
});
