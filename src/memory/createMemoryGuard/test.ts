import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { memoryConstants } from "../constants.js";
import { createMemoryGuard } from "./index.js";

const { bytesPerMegabyte, guardShare, guardIntervalBytes, guardGrowthBytes } = memoryConstants;
const megabytes = 200;

describe("createMemoryGuard", () => {
    it("collects garbage when memory runs short, and again only after it has grown", () => {
        const guardedBytes = megabytes * bytesPerMegabyte * guardShare;
        let residentBytes = guardedBytes;
        let collections = 0;
        const countBytes = createMemoryGuard({
            megabytes,
            readResidentBytes: () => residentBytes,
            collectGarbage: () => {
                collections += 1;
            },
        });
        const countAfter = (bytes: number): number => {
            residentBytes = bytes;
            countBytes(guardIntervalBytes);
            return collections;
        };
        assert.equal(countAfter(guardedBytes), 0);
        assert.equal(countAfter(guardedBytes + 1), 1);
        assert.equal(countAfter(guardedBytes + guardGrowthBytes), 1);
        assert.equal(countAfter(guardedBytes + guardGrowthBytes + 2), 2);
        assert.equal(countAfter(guardedBytes), 2);
        assert.equal(countAfter(guardedBytes + guardGrowthBytes + 2), 3);
        countBytes(guardIntervalBytes - 1);
        assert.equal(collections, 3);
    });
});
