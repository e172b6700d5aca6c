import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { findDoubledWrites } from "./index.js";

describe("findDoubledWrites", () => {
    it("finds a write that took effect twice", () => {
        const { log } = createSoakHistory();
        const again = { ...log[1]!, position: { term: 1, entry: 3 } };
        assert.deepEqual([...findDoubledWrites(createSoakHistory({ log: [...log, again] }))], [
            "write w1, again at 1.3",
        ]);
    });
});
