import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { queryIsPrimary } from "./index.js";

/** Queries an endpoint that refuses to begin a transaction with this code, or begins it. */
const query = (code?: FailureCode) =>
    queryIsPrimary(async () => [{
        rows: [],
        state: SessionState.Idle,
        ...code === undefined ? {} : { failure: { code, description: "" } },
    }], "i-1");

describe("queryIsPrimary", () => {
    it("tells a primary from a replica", async () => {
        assert.equal(await query(), true);
        assert.equal(await query(FailureCode.ReadOnly), false);
    });

    it("does not count an endpoint as a replica that refuses for another reason", async () => {
        for (const code of [FailureCode.Busy, FailureCode.Failed, FailureCode.Timeout, FailureCode.ConnectionLimit]) {
            assert.equal(await query(code), undefined, code);
        }
    });

    it("does not count an endpoint as a primary or a replica without an answer", async () => {
        assert.equal(await queryIsPrimary(async () => [], "i-1"), undefined);
    });
});
