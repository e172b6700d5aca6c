import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { queryEndpointRole } from "./index.js";

/** Queries an endpoint that refuses to begin a transaction with this code, or begins it. */
const query = async (code?: FailureCode) => {
    const { isPrimary } = await queryEndpointRole(async () => [{
        rows: [],
        state: SessionState.Idle,
        ...code === undefined ? {} : { failure: { code, description: "" } },
    }], "i-1");
    return isPrimary;
};

describe("queryEndpointRole", () => {
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
        assert.deepEqual(await queryEndpointRole(async () => [], "i-1"), {});
    });
});
