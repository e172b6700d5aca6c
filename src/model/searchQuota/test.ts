import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { QuotaProtection } from "../types/QuotaProtection.js";
import { searchQuota } from "./index.js";

describe("searchQuota", () => {
    it("finds no more operations than one token bucket admits", context => {
        const { states, violation } = searchQuota();
        assert.equal(violation, undefined);
        assert.ok(states > 10_000, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    for (const protection of Object.values(QuotaProtection)) {
        it(`finds too many without the protection ${protection}`, () => {
            assert.ok(searchQuota(protection).violation !== undefined);
        });
    }
});
