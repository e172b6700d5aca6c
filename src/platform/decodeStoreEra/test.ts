import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeStoreEra } from "./index.js";

describe("decodeStoreEra", () => {
    it("reads the era, and 0 from a store that sends none", () => {
        assert.equal(decodeStoreEra({ "store-era": "7" }), 7);
        assert.equal(decodeStoreEra({}), 0);
    });

    it("refuses an era that is not a whole number", () => {
        for (const text of ["", "-1", "1.5", "seven", "99999999999999999999"]) {
            assert.throws(() => decodeStoreEra({ "store-era": text }), /unreadable era/u);
        }
        assert.throws(() => decodeStoreEra({ "store-era": ["1", "2"] }), /unreadable era/u);
    });
});
