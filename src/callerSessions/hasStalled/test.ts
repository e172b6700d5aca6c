import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { callerSessionConstants } from "../constants.js";
import { hasStalled } from "./index.js";

const { leastProgressBytes } = callerSessionConstants;
const idle = { messageCount: 4, begunBytes: 0, receivedBytes: 100, unsentBytes: 0, takenBytes: 100 };

describe("hasStalled", () => {
    it("finds a message that stops half-way or comes byte by byte, and no session that is idle", () => {
        const begun = { ...idle, begunBytes: 50 };
        assert.equal(hasStalled(idle, idle), false);
        assert.equal(hasStalled(begun, begun), true);
        assert.equal(hasStalled(begun, { ...begun, begunBytes: 60, receivedBytes: 110 }), true);
        assert.equal(hasStalled(begun, { ...begun, receivedBytes: 100 + leastProgressBytes }), false);
        assert.equal(hasStalled(begun, { ...begun, messageCount: 5 }), false);
        assert.equal(hasStalled(idle, begun), false);
    });

    it("finds answers that are not taken", () => {
        const unsent = { ...idle, unsentBytes: 1_000 };
        assert.equal(hasStalled(unsent, unsent), true);
        assert.equal(hasStalled(unsent, { ...unsent, takenBytes: 100 + leastProgressBytes }), false);
        assert.equal(hasStalled(unsent, idle), false);
    });
});
